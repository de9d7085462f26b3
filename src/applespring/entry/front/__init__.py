"""HTTP interface: parsing, answers, refusals and their metrics."""
