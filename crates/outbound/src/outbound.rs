//! The thread that makes calls.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::pool::Pool;

/// A call.
#[derive(Debug)]
pub struct Call<T> {
    /// Where it goes.
    pub address: SocketAddr,
    /// The path.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The longest time until the answer.
    pub timeout: Duration,
    /// The caller's own, handed back with the result.
    pub context: T,
}

/// The result of a call.
#[derive(Debug)]
pub enum Outcome {
    /// An answer.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// Nothing was sent.
    NotSent(String),
    /// No answer; the call may have been carried out, or still be.
    Unanswered(String),
}

/// Makes calls; dropping it ends the thread and all calls.
pub struct Outbound<T> {
    calls: mpsc::UnboundedSender<Call<T>>,
}

impl<T: Send + 'static> Outbound<T> {
    /// Starts the thread; `done` gets the result of each call.
    pub fn start(on_outcome: impl Fn(T, Outcome) + Send + 'static) -> io::Result<Outbound<T>> {
        let (calls, receiver) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("outbound".to_string())
            .spawn(move || run(receiver, on_outcome))?;
        Ok(Outbound { calls })
    }

    /// Makes a call.
    pub fn call(&self, call: Call<T>) {
        // A closed channel means that the thread has ended, which it has logged.
        let _ = self.calls.send(call);
    }
}

fn run<T: 'static>(
    mut calls: mpsc::UnboundedReceiver<Call<T>>,
    on_outcome: impl Fn(T, Outcome) + 'static,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return log::error!("no runtime for calls to targets: {error}"),
    };
    let on_outcome = Rc::new(on_outcome);
    let pool = Rc::new(Pool::default());
    LocalSet::new().block_on(&runtime, async {
        while let Some(call) = calls.recv().await {
            let (pool, on_outcome) = (pool.clone(), on_outcome.clone());
            tokio::task::spawn_local(async move {
                let outcome = pool
                    .call(
                        call.address,
                        &call.path,
                        &call.headers,
                        call.body,
                        call.timeout,
                    )
                    .await;
                on_outcome(call.context, outcome);
            });
        }
    });
}
