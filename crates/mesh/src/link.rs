//! A connection to one VM.

use std::net::SocketAddr;
use std::time::Duration;

use greengage_core::VmName;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::mesh::{MESSAGE_BYTES, UNACKNOWLEDGED};

/// Bytes of a frame's length.
pub(crate) const HEAD: usize = 4;
/// How long a connection may take to be made: several trips between regions. The opening packet of
/// a VM that has no power yet is dropped, and the system repeats it only after a second.
const CONNECT: Duration = Duration::from_millis(150);
/// Pause after a connection that failed.
const PAUSE: Duration = Duration::from_millis(40);
/// A link without messages for this long ends.
const IDLE: Duration = Duration::from_secs(30);
/// Bytes that are gathered for one write.
const WRITE_BYTES: usize = 64 << 10;

/// The length of the frame that starts here, once it is known.
pub(crate) fn frame_length(bytes: &[u8]) -> Option<usize> {
    let head = bytes.first_chunk::<HEAD>()?;
    Some(u32::from_be_bytes(*head) as usize)
}

fn add_frame(buffer: &mut Vec<u8>, message: &[u8]) {
    if message.len() > MESSAGE_BYTES {
        return log::warn!(
            "a message of {} bytes is too long and dropped",
            message.len()
        );
    }
    buffer.extend_from_slice(&(message.len() as u32).to_be_bytes());
    buffer.extend_from_slice(message);
}

/// Sends the messages of a queue, until it is closed or idle.
pub(crate) async fn run(own: VmName, address: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    let mut failing = false;
    while let Ok(Some(first)) = timeout(IDLE, queue.recv()).await {
        match connect(address).await {
            Ok(stream) => {
                if failing {
                    log::info!(event = "link-up", address = address.to_string().as_str();
                        "a VM can be reached again");
                }
                failing = false;
                if let Err(error) = serve(&own, stream, first, &mut queue).await {
                    log::debug!("the connection to {address} broke: {error}");
                }
            }
            Err(error) => {
                if !failing {
                    log::info!(event = "link-down", address = address.to_string().as_str(),
                        cause = error.to_string().as_str(); "a VM can't be reached");
                }
                failing = true;
                // What waits is out of date by the time of the next connection.
                while queue.try_recv().is_ok() {}
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    queue.close();
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(stream)
}

async fn serve(
    own: &VmName,
    mut stream: TcpStream,
    first: Vec<u8>,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> std::io::Result<()> {
    let mut buffer = Vec::with_capacity(WRITE_BYTES);
    add_frame(&mut buffer, own.as_str().as_bytes());
    add_frame(&mut buffer, &first);
    loop {
        while buffer.len() < WRITE_BYTES {
            match queue.try_recv() {
                Ok(message) => add_frame(&mut buffer, &message),
                Err(_) => break,
            }
        }
        timeout(UNACKNOWLEDGED, stream.write_all(&buffer)).await??;
        buffer.clear();
        match timeout(IDLE, queue.recv()).await {
            Ok(Some(message)) => add_frame(&mut buffer, &message),
            Ok(None) | Err(_) => return Ok(()),
        }
    }
}
