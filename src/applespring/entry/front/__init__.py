"""What callers reach: parsing, answers, refusals and their count."""
