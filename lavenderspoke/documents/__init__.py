"""Service documents: what they say, who replaced them, which one is in force."""
