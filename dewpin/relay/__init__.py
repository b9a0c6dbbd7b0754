"""The life of a message, from its submission to its end, and the dispatcher as the relay asks it.

The package owns the order of the steps (recorded, dispatched, sent, reported, ended, notified) and the one timer behind
them. It knows no wire: frontends submit messages and transports carry attempts, both through `dewpin.ports`.
"""
