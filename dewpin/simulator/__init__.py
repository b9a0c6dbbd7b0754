"""An adapter that connects the dispatcher to the simulator by its wire protocol, marsh-c21d."""
