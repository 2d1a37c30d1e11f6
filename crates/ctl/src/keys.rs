//! `greengagectl keys`: the certificates and keys with which VMs authenticate each other.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use eyre::{Report, WrapErr};
use greengage_core::VmName;
use greengage_transport::keys::{create_authority, issue, Authority, Keys};

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Create the certificate authority of a new deployment.
    Authority {
        /// Folder for the authority's certificate and private key; don't copy it to the VMs.
        #[arg(long)]
        out: PathBuf,
    },
    /// Issue the certificate and key of one VM.
    Vm {
        /// Folder written by `greengagectl keys authority`.
        #[arg(long)]
        authority: PathBuf,
        /// Name of the VM.
        #[arg(long)]
        vm: VmName,
        /// Folder for the VM's certificate and key.
        #[arg(long)]
        out: PathBuf,
    },
}

impl Command {
    pub(crate) fn run(&self) -> Result<(), Report> {
        match self {
            Command::Authority { out } => {
                create_folder(out)?;
                create_authority()?
                    .save(out)
                    .wrap_err("the authority can't be saved")?;
                println!("authority written to {}", out.display());
            }
            Command::Vm { authority, vm, out } => {
                let authority = Authority::load(authority)?;
                let key_pair = issue(&authority, vm)?;
                create_folder(out)?;
                Keys::new(&authority, key_pair)
                    .save(out)
                    .wrap_err("the keys can't be saved")?;
                println!("keys of VM {vm} written to {}", out.display());
            }
        }
        Ok(())
    }
}

fn create_folder(folder: &Path) -> Result<(), Report> {
    std::fs::create_dir_all(folder)
        .wrap_err_with(|| format!("--out {} can't be created", folder.display()))
}
