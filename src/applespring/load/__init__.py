"""The program that generates an open-loop load and checks each answer."""
