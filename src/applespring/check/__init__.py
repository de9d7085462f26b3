"""The program that checks, explains and formats configuration documents."""
