//! Reads key files and builds the TLS configurations of both sides.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::SystemTime,
};

use goldcrestramp_config::PeerTlsSettings;
use tokio_rustls::rustls::{
    RootCertStore, ServerConfig,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};
use tonic::transport::{Certificate, ClientTlsConfig, Identity};

use super::{PeerTlsError, identity::PeerIdentity};

/// Time of modification and size of a file, which change when the file is
/// replaced; `None` if they can't be read.
type FileVersion = Option<(SystemTime, u64)>;

/// The TLS configurations of both sides of a connection.
#[derive(Clone, Debug)]
pub(super) struct KeyMaterial {
    file_versions: [FileVersion; 3],
    pub(super) server: Arc<ServerConfig>,
    pub(super) client: ClientTlsConfig,
}

impl KeyMaterial {
    /// Reads the files, whose certificate must name `identity`.
    pub(super) fn read(
        files: &PeerTlsSettings,
        identity: &PeerIdentity,
    ) -> Result<Self, PeerTlsError> {
        // Read before the files: if a file changes during the read, its
        // version is newer than this, and all files are read again.
        let file_versions = file_versions(files);
        let authority = read_file(&files.authority_file)?;
        let chain = read_file(&files.certificate_file)?;
        let key = read_file(&files.key_file)?;
        let certificates = read_certificates(&files.certificate_file, &chain)?;
        let first = certificates.first();
        let own = first
            .and_then(|leaf| PeerIdentity::read(leaf, &identity.deployment));
        if own.as_ref() != Some(identity) {
            let expected = identity.name();
            return Err(PeerTlsError::OtherName { expected });
        }
        let roots = read_certificates(&files.authority_file, &authority)?;
        let server = server_config(roots, certificates, &files.key_file)?;
        let client = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(authority))
            .identity(Identity::from_pem(chain, key))
            .domain_name(PeerIdentity::common_name(&identity.deployment));
        Ok(Self { file_versions, server: Arc::new(server), client })
    }

    /// Returns whether no file has changed since the files were read.
    pub(super) fn is_current(&self, files: &PeerTlsSettings) -> bool {
        self.file_versions == file_versions(files)
    }
}

fn file_versions(files: &PeerTlsSettings) -> [FileVersion; 3] {
    let PeerTlsSettings { authority_file, certificate_file, key_file } = files;
    [authority_file, certificate_file, key_file].map(|file| {
        let metadata = fs::metadata(file).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    })
}

fn read_file(file: &Path) -> Result<Vec<u8>, PeerTlsError> {
    fs::read(file).map_err(|error| unreadable(file, &error))
}

fn unreadable(file: &Path, why: &dyn std::fmt::Display) -> PeerTlsError {
    PeerTlsError::Unreadable(PathBuf::from(file), why.to_string())
}

fn read_certificates(
    file: &Path,
    pem: &[u8],
) -> Result<Vec<CertificateDer<'static>>, PeerTlsError> {
    let read: Result<Vec<_>, _> =
        CertificateDer::pem_slice_iter(pem).collect();
    let certificates = read.map_err(|error| unreadable(file, &error))?;
    if certificates.is_empty() {
        return Err(unreadable(file, &"no certificate"));
    }
    Ok(certificates)
}

/// The configuration of a server that accepts only peers whose certificate
/// the authority has signed.
fn server_config(
    authority: Vec<CertificateDer<'static>>,
    chain: Vec<CertificateDer<'static>>,
    key_file: &Path,
) -> Result<ServerConfig, PeerTlsError> {
    let mismatch = |error: &dyn std::fmt::Display| {
        PeerTlsError::Mismatch(error.to_string())
    };
    let key = PrivateKeyDer::from_pem_file(key_file)
        .map_err(|error| unreadable(key_file, &error))?;
    let mut roots = RootCertStore::empty();
    for certificate in authority {
        roots.add(certificate).map_err(|error| mismatch(&error))?;
    }
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(
        Arc::new(roots),
        Arc::clone(&provider),
    );
    let verifier = verifier.build().map_err(|error| mismatch(&error))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| mismatch(&error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|error| mismatch(&error))?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    Ok(config)
}
