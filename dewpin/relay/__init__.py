"""The life cycle of messages, from submission to the final notice, and the relay's interface to the dispatcher.

The package owns the order of the steps (record, dispatch, send, report, finish, notify) and the single timer that
drives them. It implements no protocol: frontends submit messages and transports carry out attempts, both through
`dewpin.ports`.
"""
