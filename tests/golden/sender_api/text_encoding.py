"""Text for bytes, with one character for each byte."""


def text(content):
    return content.decode("latin-1")


def octets(characters):
    return characters.encode("latin-1")
