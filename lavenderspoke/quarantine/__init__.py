"""Which content, or parts of prompts, crash upstreams and are refused."""
