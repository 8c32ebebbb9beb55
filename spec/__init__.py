"""Small specifications of the core protocol, for exhaustive checking.

Each module states one part's rules as a finite state machine.  Every rule can
be switched off, to show that it is needed.  The specifications share no code
with ramptray; tests drive ramptray's own objects along their traces.
"""
