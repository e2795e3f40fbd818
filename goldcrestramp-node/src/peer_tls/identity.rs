//! Who a certificate says that a peer is.

use std::sync::Arc;

use goldcrestramp_types::{DomainName, VmName};
use tokio_rustls::rustls::pki_types::CertificateDer;

/// The last label of every name in peers' certificates.
const SUFFIX: &str = "goldcrestramp";

/// A VM of a deployment, as its certificate names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// The deployment.
    pub deployment: Arc<str>,
    /// The failure domain.
    pub domain: DomainName,
    /// The VM.
    pub vm: VmName,
}

impl PeerIdentity {
    /// The DNS name of the VM: `VM.DOMAIN.DEPLOYMENT.goldcrestramp`.
    #[must_use]
    pub fn name(&self) -> String {
        let Self { deployment, domain, vm } = self;
        format!("{vm}.{domain}.{deployment}.{SUFFIX}")
    }

    /// The name that every peer of a deployment has besides its own.
    #[must_use]
    pub fn common_name(deployment: &str) -> String {
        format!("{deployment}.{SUFFIX}")
    }

    /// Reads the certificate of a peer of `deployment`.
    ///
    /// `None`: it names no VM of this deployment, or more than one.
    #[must_use]
    pub fn read(
        certificate: &CertificateDer<'_>,
        deployment: &Arc<str>,
    ) -> Option<Self> {
        let parsed = webpki::EndEntityCert::try_from(certificate).ok()?;
        let suffix = format!(".{}", Self::common_name(deployment));
        let mut vms = parsed
            .valid_dns_names()
            .filter_map(|name| name.strip_suffix(suffix.as_str()));
        let (vm, domain) = vms.next()?.split_once('.')?;
        // With two names a peer could be whichever suits it.
        if vms.next().is_some() || domain.contains('.') {
            return None;
        }
        Some(Self {
            deployment: Arc::clone(deployment),
            domain: DomainName::new(domain).ok()?,
            vm: VmName::new(vm).ok()?,
        })
    }
}
