"""What both planes share: settings, configuration, messages between processes, errors."""
