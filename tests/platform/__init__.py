"""The translation between the platform and the product."""
