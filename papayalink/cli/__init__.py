"""The papayalink command-line tool."""
