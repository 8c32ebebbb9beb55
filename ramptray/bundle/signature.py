"""Signs bundles and verifies signatures: Ed25519 over the exact text.

The cryptography library is imported on first use.  VMs on a platform whose
store accepts changes from operators only never verify a signature, and start
sooner without the import.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric import ed25519

PREFIX = "ed25519:"


class Envelope(msgspec.Struct, frozen=True):
    """A bundle's text with its signatures.

    Attributes:
        text: JSON with comments, exactly as signed.
        signatures: Signatures in hex, by operator name.
    """

    text: str
    signatures: dict[str, str]

    @property
    def digest(self) -> str:
        """Digest of the text; the next bundle names it as its base."""
        return "sha256:" + hashlib.sha256(self.text.encode()).hexdigest()


def make_private_key() -> str:
    """Returns a new private key as text."""
    from cryptography.hazmat.primitives.asymmetric import ed25519

    private = ed25519.Ed25519PrivateKey.generate()
    return PREFIX + private.private_bytes_raw().hex()


def get_public_key(private_key: str) -> str:
    """Returns the public key that belongs to a private key.

    Raises:
        ValueError: The text is not a private key.
    """
    return PREFIX + _load(private_key).public_key().public_bytes_raw().hex()


def sign(envelope: Envelope, operator: str, private_key: str) -> Envelope:
    """Returns the envelope with this operator's signature added.

    Raises:
        ValueError: The text is not a private key.
    """
    signature = _load(private_key).sign(envelope.text.encode()).hex()
    return msgspec.structs.replace(
        envelope, signatures={**envelope.signatures, operator: signature}
    )


def count_valid(envelope: Envelope, keys: dict[str, str]) -> int:
    """Returns the number of operators with a valid signature of the text."""
    return sum(
        _verify(envelope.text, envelope.signatures.get(operator, ""), key)
        for operator, key in keys.items()
    )


def _load(private_key: str) -> ed25519.Ed25519PrivateKey:
    from cryptography.hazmat.primitives.asymmetric import ed25519

    raw = bytes.fromhex(private_key.strip().removeprefix(PREFIX))
    return ed25519.Ed25519PrivateKey.from_private_bytes(raw)


def _verify(text: str, signature: str, key: str) -> bool:
    from cryptography import exceptions
    from cryptography.hazmat.primitives.asymmetric import ed25519

    raw = bytes.fromhex(key.removeprefix(PREFIX))
    public = ed25519.Ed25519PublicKey.from_public_bytes(raw)
    try:
        public.verify(bytes.fromhex(signature), text.encode())
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True
