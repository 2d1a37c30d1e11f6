//! Certificate authority of the deployment and key pairs of its VMs.
//!
//! A deployment has one authority, which signs one certificate per VM. The certificate is valid
//! for a DNS name derived from the VM's name. Both ends of a connection verify the other's
//! certificate. The authority's private key is needed only to add a VM and is not kept on the VMs.

use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use greengage_core::VmName;
use rcgen::{BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer};
use rcgen::{KeyPair as PrivateKey, KeyUsagePurpose};

/// File name of the authority's certificate.
pub const AUTHORITY_FILE: &str = "authority.pem";
/// File name of the authority's private key, which must not be stored on a VM.
pub const AUTHORITY_KEY_FILE: &str = "authority.key";
/// File name of the VM's certificate.
pub const CERTIFICATE_FILE: &str = "vm.pem";
/// File name of the VM's private key.
pub const KEY_FILE: &str = "vm.key";

const KEY_FILE_MODE: u32 = 0o600;
const CERTIFICATE_FILE_MODE: u32 = 0o644;

/// Certificate authority of a deployment.
#[derive(Clone)]
pub struct Authority {
    /// Self-signed certificate, in PEM.
    pub certificate: String,
    /// Private key, in PEM.
    pub key: String,
}

/// Certificate and private key of one VM.
#[derive(Clone)]
pub struct KeyPair {
    /// Certificate signed by the authority, in PEM.
    pub certificate: String,
    /// Private key, in PEM.
    pub key: String,
}

/// Credentials of one VM.
#[derive(Clone)]
pub struct Keys {
    /// Certificate of the authority, in PEM.
    pub authority: String,
    /// Certificate of the VM, in PEM.
    pub certificate: String,
    /// Private key of the VM, in PEM.
    pub key: String,
}

/// Error from creating, reading or writing keys.
#[derive(Debug)]
pub enum KeysError {
    /// A key or certificate file cannot be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A key or certificate file cannot be written.
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A key or certificate is malformed, or does not match the other keys or the VM.
    Invalid {
        /// File name of the key or certificate.
        file: &'static str,
        /// Failed check.
        cause: String,
    },
    /// A key cannot be generated or a certificate cannot be signed; holds the cause.
    Sign(String),
}

impl fmt::Display for KeysError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeysError::Read { path, error } => write!(
                f,
                "cannot read {}: {error}; issue keys for this VM into that folder",
                path.display()
            ),
            KeysError::Write { path, error } => write!(
                f,
                "cannot write {}: {error}; create the folder and make it writable",
                path.display()
            ),
            KeysError::Invalid { file, cause } => write!(
                f,
                "{file} is not valid: {cause}; replace it with the file that was issued for this VM"
            ),
            KeysError::Sign(cause) => write!(
                f,
                "cannot sign a certificate: {cause}; check that {AUTHORITY_KEY_FILE} holds the \
                 authority's private key"
            ),
        }
    }
}

impl std::error::Error for KeysError {}

/// Creates the authority of a new deployment.
pub fn create_authority() -> Result<Authority, KeysError> {
    let key = PrivateKey::generate().map_err(sign_error)?;
    let certificate = authority_params().self_signed(&key).map_err(sign_error)?;
    Ok(Authority {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Generates a key for `vm` and a certificate signed by `authority`.
pub fn issue(authority: &Authority, vm: &VmName) -> Result<KeyPair, KeysError> {
    let issuer = Issuer::new(
        authority_params(),
        PrivateKey::from_pem(&authority.key).map_err(sign_error)?,
    );
    let key = PrivateKey::generate().map_err(sign_error)?;
    let mut params = CertificateParams::new(vec![dns_name(vm)]).map_err(sign_error)?;
    params
        .distinguished_name
        .push(DnType::CommonName, vm.as_str());
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params.signed_by(&key, &issuer).map_err(sign_error)?;
    Ok(KeyPair {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

fn sign_error(error: rcgen::Error) -> KeysError {
    KeysError::Sign(error.to_string())
}

/// Parameters of the authority's certificate apart from its key. They are constant, so that
/// certificates can be issued with the key alone.
fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params
        .distinguished_name
        .push(DnType::CommonName, "greengage authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
}

/// Maximum length of a DNS label.
const MAX_LABEL_BYTES: usize = 63;
/// Suffix whose last label has letters: the last label of a DNS name must not be all digits.
const DNS_SUFFIX: &str = "vm.greengage";

/// DNS name of `vm` in certificates.
///
/// VM names are case-sensitive and may have characters that DNS names do not allow, so the name is
/// encoded in base 32. In base 16 the longest VM names would exceed the limit of 253 bytes.
pub fn dns_name(vm: &VmName) -> String {
    const BASE32_DIGITS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
    let bytes = vm.as_str().as_bytes();
    let mut text = String::new();
    let mut label_len = 0;
    for bit in (0..bytes.len() * 8).step_by(5) {
        let byte = |i: usize| u16::from(bytes.get(i).copied().unwrap_or(0));
        let pair = byte(bit / 8) << 8 | byte(bit / 8 + 1);
        let digit = (pair >> (11 - bit % 8)) & 31;
        if label_len == MAX_LABEL_BYTES {
            text.push('.');
            label_len = 0;
        }
        text.push(char::from(BASE32_DIGITS[usize::from(digit)]));
        label_len += 1;
    }
    format!("{text}.{DNS_SUFFIX}")
}

impl Authority {
    /// Reads the authority's files from `folder`.
    pub fn load(folder: &Path) -> Result<Authority, KeysError> {
        Ok(Authority {
            certificate: read_file(folder, AUTHORITY_FILE)?,
            key: read_file(folder, AUTHORITY_KEY_FILE)?,
        })
    }

    /// Writes the authority's files into `folder`; only the owner can read the key.
    pub fn save(&self, folder: &Path) -> Result<(), KeysError> {
        write_file(
            folder,
            AUTHORITY_FILE,
            &self.certificate,
            CERTIFICATE_FILE_MODE,
        )?;
        write_file(folder, AUTHORITY_KEY_FILE, &self.key, KEY_FILE_MODE)
    }
}

impl Keys {
    /// Combines a `pair` issued by `authority` with the authority's certificate.
    pub fn new(authority: &Authority, pair: KeyPair) -> Keys {
        Keys {
            authority: authority.certificate.clone(),
            certificate: pair.certificate,
            key: pair.key,
        }
    }

    /// Reads a VM's files from `folder`.
    pub fn load(folder: &Path) -> Result<Keys, KeysError> {
        Ok(Keys {
            authority: read_file(folder, AUTHORITY_FILE)?,
            certificate: read_file(folder, CERTIFICATE_FILE)?,
            key: read_file(folder, KEY_FILE)?,
        })
    }

    /// Checks that the keys match each other and that the authority issued them for `vm`.
    pub fn check(&self, vm: &VmName) -> Result<(), KeysError> {
        crate::tls::check_keys(self, vm)
    }

    /// Writes a VM's files into `folder`; only the owner can read the key.
    pub fn save(&self, folder: &Path) -> Result<(), KeysError> {
        write_file(
            folder,
            AUTHORITY_FILE,
            &self.authority,
            CERTIFICATE_FILE_MODE,
        )?;
        write_file(
            folder,
            CERTIFICATE_FILE,
            &self.certificate,
            CERTIFICATE_FILE_MODE,
        )?;
        write_file(folder, KEY_FILE, &self.key, KEY_FILE_MODE)
    }
}

fn read_file(folder: &Path, file: &str) -> Result<String, KeysError> {
    let path = folder.join(file);
    fs::read_to_string(&path).map_err(|error| KeysError::Read { path, error })
}

fn write_file(folder: &Path, file: &str, text: &str, mode: u32) -> Result<(), KeysError> {
    let path = folder.join(file);
    let write = || {
        let mut file = fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(mode)
            .open(&path)?;
        // `mode` has no effect on an existing file.
        file.set_permissions(fs::Permissions::from_mode(mode))?;
        file.write_all(text.as_bytes())?;
        file.sync_all()
    };
    write().map_err(|error| KeysError::Write { path, error })
}
