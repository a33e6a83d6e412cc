"""Translation between the users' platform and the product's own types.

Nothing here decides anything. Nothing outside knows the platform's names.
"""
