//! Keys and certificates of peers, generated for one test.

use std::{fs, path::PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair,
};

/// An authority's certificate and key.
pub type TestAuthority = CertifiedIssuer<'static, KeyPair>;

/// Generates a new authority.
pub fn authority() -> TestAuthority {
    let mut params =
        CertificateParams::new(Vec::new()).expect("parameters are valid");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("key is generated");
    CertifiedIssuer::self_signed(params, key).expect("certificate is signed")
}

/// A VM's directory with its certificate, key and authority files; it is
/// removed on drop.
pub struct VmFiles(pub PathBuf);

impl VmFiles {
    /// Creates a directory named after this process and `name`.
    pub fn new(name: &str) -> Self {
        let name = format!("goldcrestramp-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("directory is created");
        Self(directory)
    }

    /// Writes a certificate with these names, signed by `authority`.
    pub fn issue(&self, authority: &TestAuthority, names: &[&str]) {
        let names: Vec<_> = names.iter().map(|n| (*n).to_owned()).collect();
        let params =
            CertificateParams::new(names).expect("parameters are valid");
        let key = KeyPair::generate().expect("key is generated");
        let certificate =
            params.signed_by(&key, authority).expect("certificate is signed");
        let write = |name: &str, text: String| {
            fs::write(self.0.join(name), text).expect("file is written");
        };
        write("authority.pem", authority.pem());
        write("vm.pem", certificate.pem());
        write("vm.key", key.serialize_pem());
    }
}

impl Drop for VmFiles {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}
