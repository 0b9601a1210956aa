"""The operators' commands: they look, check, and give orders, over the calls that a control relay takes."""
