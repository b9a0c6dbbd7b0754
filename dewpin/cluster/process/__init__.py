"""The frame of the tier's programs: signals, steps of the start, supervised threads, and why a process ends.

`signals` and `standard_streams` are imported before anything else and must import only what the interpreter has loaded
already. `program` runs a program, `start_steps` repeats steps that fail for a reason that can pass, `supervised_thread`
restarts a thread that raised, `exit_codes` lists the exit codes.
"""
