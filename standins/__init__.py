"""Small stand-ins for what the system meets, and deployments made of them.

The demonstration, the measurements and the integration tests run on these.
"""
