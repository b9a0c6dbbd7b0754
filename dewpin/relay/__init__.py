"""The life of a mail, from the door to its end, and the decision module in blocking style.

It owns the order of the steps (recorded, asked about, sent, reported, ended, told) and the one timer behind them. It
knows no wire: fronts hand mails in, outlets carry calls, both through `dewpin.ports`.
"""
