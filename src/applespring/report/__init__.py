"""The program that reports service levels, burn rates and cost by stage."""
