"""Translation between applespring and the users' platform.

Only this package knows the names on the platform's wire. It decodes them into
the types of `applespring.core` and encodes what the relay sends; it decides
nothing and keeps no state.
"""
