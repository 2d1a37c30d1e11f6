//! Errors that prevent the start of a VM or end it.

use std::fmt;
use std::io;
use std::path::PathBuf;

use greengage_control::SiteError;
use greengage_http::HttpError;
use greengage_journal::JournalError;
use greengage_transport::keys::KeysError;
use greengage_transport::TransportError;
use greengage_wire::WireError;

use crate::settings::SettingsError;

/// Why a VM can't start or has failed.
#[derive(Debug)]
pub enum NodeError {
    /// A setting is invalid.
    Settings(SettingsError),
    /// The settings are valid one by one but don't describe a working deployment.
    Site(SiteError),
    /// The keys can't be loaded, or aren't valid for this VM.
    Keys {
        /// The folder of the keys.
        folder: PathBuf,
        /// What is wrong with them.
        error: KeysError,
    },
    /// The data folder can't be opened, read or written.
    Journal(JournalError),
    /// A record in the data folder can't be decoded.
    DecodeRecord {
        /// The journal group of the record.
        group: String,
        /// Why decoding failed.
        error: WireError,
    },
    /// The transport can't start.
    Transport(TransportError),
    /// An HTTP listener can't start.
    Http {
        /// The flag that sets the listener's address.
        flag: &'static str,
        /// Why it can't start.
        error: HttpError,
    },
    /// The HTTP client for calls to targets can't start.
    Client(HttpError),
    /// A thread can't be started.
    Thread(io::Error),
    /// `prepare_data_folder` needs a data folder and none is set.
    MissingDataFolder,
    /// The control thread has panicked.
    ControlPanicked,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Settings(error) => error.fmt(f),
            NodeError::Site(error @ SiteError::NoFolder(_)) => write!(f, "--data: {error}"),
            NodeError::Site(error) => write!(f, "--vms: {error}"),
            NodeError::Keys { folder, error } => write!(f, "--keys {}: {error}", folder.display()),
            NodeError::Journal(error) => error.fmt(f),
            NodeError::DecodeRecord { group, error } => write!(
                f,
                "a record of group {group} in the data folder can't be decoded: {error}"
            ),
            NodeError::Transport(
                error @ (TransportError::AddressInUse(_) | TransportError::Listen { .. }),
            ) => write!(f, "--vms: {error}"),
            NodeError::Transport(error) => error.fmt(f),
            NodeError::Http { flag, error } => write!(f, "{flag}: {error}"),
            NodeError::Client(error) => error.fmt(f),
            NodeError::Thread(error) => {
                write!(
                    f,
                    "cannot start a thread: {error}; raise the limit of threads"
                )
            }
            NodeError::MissingDataFolder => write!(f, "--init needs a data folder: set --data"),
            NodeError::ControlPanicked => write!(
                f,
                "the control thread panicked: start the VM again and report the panic message"
            ),
        }
    }
}

impl std::error::Error for NodeError {}

macro_rules! impl_from {
    ($($error:ty => $variant:ident;)*) => {$(
        impl From<$error> for NodeError {
            fn from(error: $error) -> NodeError {
                NodeError::$variant(error)
            }
        }
    )*};
}

impl_from! {
    SettingsError => Settings;
    SiteError => Site;
    JournalError => Journal;
    TransportError => Transport;
    HttpError => Client;
    io::Error => Thread;
}
