"""What the data plane and the control plane share: checked inputs, errors and logs."""
