"""Adapter between the relay and the users' platform.

The names of the platform's headers, fields, keys and settings occur only here.
The package decodes them into the types of `applespring.core` and
`applespring.relay` and encodes what the relay sends. It makes no decisions and
keeps no state.
"""
