"""Mutual TLS of the control stream: each side shows a certificate of the same authority, and its name counts.

Keys and certificates are read anew on SIGHUP. What can't be used, as one that has expired or does not fit its
key, is refused there and then: the old ones stay in use, and so does the connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from cryptography import x509
from OpenSSL import SSL, crypto
from twisted.internet.error import VerifyError
from twisted.internet.ssl import (
    Certificate,
    CertificateOptions,
    PrivateCertificate,
    TLSVersion,
    optionsForClientTLS,
    trustRootFromCertificates,
)


class TlsError(Exception):
    """Keys or certificates that can't be used; the text names the file."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Where the PEM files are, and whom the peer must prove to be."""

    certificate: Path
    key: Path
    authority: Path
    server_name: str = ""


def pem(path: Path) -> bytes:
    """Read a file; raises TlsError."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise TlsError(f"{path}: {error.strerror}") from None


def valid(path: Path, now: datetime) -> x509.Certificate:
    """Read a certificate that is valid now; raises TlsError."""
    try:
        certificate = x509.load_pem_x509_certificate(pem(path))
    except ValueError:
        raise TlsError(f"{path}: not a certificate in PEM") from None
    if certificate.not_valid_after_utc <= now:
        raise TlsError(f"{path}: expired on {certificate.not_valid_after_utc:%Y-%m-%d %H:%M} UTC")
    if certificate.not_valid_before_utc > now:
        raise TlsError(f"{path}: not valid before {certificate.not_valid_before_utc:%Y-%m-%d %H:%M} UTC")
    return certificate


def identity(files: TlsFiles, now: datetime | None = None) -> tuple[PrivateCertificate, Any]:
    """Return our certificate with its key, and the authority that peers are trusted by; raises TlsError."""
    now = now or datetime.now(UTC)
    valid(files.certificate, now)
    valid(files.authority, now)
    try:
        own = PrivateCertificate.loadPEM(pem(files.certificate) + b"\n" + pem(files.key))
    except (crypto.Error, SSL.Error, VerifyError, ValueError):
        raise TlsError(f"{files.key}: not the key of {files.certificate}") from None
    return own, trustRootFromCertificates([Certificate.loadPEM(pem(files.authority))])


def client_options(files: TlsFiles, now: datetime | None = None) -> Any:
    """Return a client's side: the server must be server_name by its certificate (service_identity)."""
    own, root = identity(files, now)
    return optionsForClientTLS(
        files.server_name, root, own,
        extraCertificateOptions={"raiseMinimumTo": TLSVersion.TLSv1_2},
    )  # fmt: skip


def server_options(files: TlsFiles, now: datetime | None = None) -> CertificateOptions:
    """Return a server's side: clients without a certificate of the authority are turned away."""
    own, root = identity(files, now)
    return CertificateOptions(
        privateKey=own.privateKey.original, certificate=own.original, trustRoot=root,
        raiseMinimumTo=TLSVersion.TLSv1_2,
    )  # fmt: skip
