"""What streams cost engines, and what each engine still has to do."""
