//! The outgoing connection to one VM.

use std::net::SocketAddr;
use std::time::Duration;

use greengage_core::VmName;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::mesh::{ACK_TIMEOUT, MAX_MESSAGE_BYTES};

/// Size of the length field at the start of a frame.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;
/// Several round trips between regions. A SYN to a VM that is still powered off is dropped, and the
/// kernel retransmits it only after a second; a new attempt gets through sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after a failed attempt to connect.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// A link without messages for this long closes its connection and ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Messages are added to a write until it has at least this size.
const WRITE_BATCH_BYTES: usize = 64 << 10;

/// The length of the frame at the start of `bytes`; `None` while its length field is incomplete.
pub(crate) fn frame_length(bytes: &[u8]) -> Option<usize> {
    let header = bytes.first_chunk::<FRAME_HEADER_BYTES>()?;
    Some(u32::from_be_bytes(*header) as usize)
}

fn add_frame(buffer: &mut Vec<u8>, message: &[u8]) {
    if message.len() > MAX_MESSAGE_BYTES {
        return log::warn!("dropped an oversized message of {} bytes", message.len());
    }
    buffer.extend_from_slice(&(message.len() as u32).to_be_bytes());
    buffer.extend_from_slice(message);
}

/// Sends the messages of a queue until the queue is closed or has been idle for `IDLE_TIMEOUT`.
pub(crate) async fn run(local_vm: VmName, address: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    let mut link_down = false;
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
        match connect(address).await {
            Ok(stream) => {
                if link_down {
                    log::info!(event = "link-up", address = address.to_string().as_str();
                        "reconnected to a VM");
                }
                link_down = false;
                if let Err(error) = send_queued(&local_vm, stream, first, &mut queue).await {
                    log::info!(event = "link-broken", address = address.to_string().as_str(),
                        cause = error.to_string().as_str(), queued = queue.len();
                        "the connection to a VM failed");
                }
            }
            Err(error) => {
                if !link_down {
                    log::info!(event = "link-down", address = address.to_string().as_str(),
                        cause = error.to_string().as_str(); "cannot connect to a VM");
                }
                link_down = true;
                // Queued messages would be outdated by the time of the next connection.
                while queue.try_recv().is_ok() {}
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    queue.close();
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    Ok(stream)
}

async fn send_queued(
    local_vm: &VmName,
    mut stream: TcpStream,
    first: Vec<u8>,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> std::io::Result<()> {
    let mut buffer = Vec::with_capacity(WRITE_BATCH_BYTES);
    add_frame(&mut buffer, local_vm.as_str().as_bytes());
    add_frame(&mut buffer, &first);
    loop {
        while buffer.len() < WRITE_BATCH_BYTES {
            match queue.try_recv() {
                Ok(message) => add_frame(&mut buffer, &message),
                Err(_) => break,
            }
        }
        timeout(ACK_TIMEOUT, stream.write_all(&buffer)).await??;
        buffer.clear();
        match timeout(IDLE_TIMEOUT, queue.recv()).await {
            Ok(Some(message)) => add_frame(&mut buffer, &message),
            Ok(None) | Err(_) => return Ok(()),
        }
    }
}
