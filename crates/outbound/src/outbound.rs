//! The outbound thread and its interface.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::pool::Pool;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Brings new work; has to leave a quarter of the connections to other calls.
    Start,
    /// Ends work, or keeps a target's work alive.
    Upkeep,
}

/// A POST request to a target.
#[derive(Debug)]
pub struct Call<T> {
    /// Address of the target.
    pub address: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Headers besides `Host`, `Content-Type` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Body of the request, as JSON.
    pub body: Vec<u8>,
    /// Longest time from the start of the call until the complete answer.
    pub timeout: Duration,
    /// What the call is for.
    pub class: Class,
    /// Passed back with the outcome.
    pub context: T,
}

/// The outcome of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The target answered, with any status.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Body of the answer, at most 1 MiB.
        body: Vec<u8>,
    },
    /// Nothing was sent, for this reason.
    NotSent(String),
    /// No answer arrived, for this reason; the target may have executed the call or still do so.
    Unanswered(String),
}

/// A handle to the outbound thread. Dropping it ends the thread and aborts all calls.
pub struct Outbound<T> {
    calls: mpsc::UnboundedSender<Call<T>>,
}

impl<T: Send + 'static> Outbound<T> {
    /// Starts the thread, on which `on_outcome` is called with the outcome of each call.
    ///
    /// At most `connections` are open at once, three quarters of them for starts; further calls wait
    /// for one until their time-out.
    pub fn start(
        connections: usize,
        on_outcome: impl Fn(T, Outcome) + Send + 'static,
    ) -> io::Result<Outbound<T>> {
        let (calls, receiver) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("outbound".to_string())
            .spawn(move || run(receiver, connections, on_outcome))?;
        Ok(Outbound { calls })
    }

    /// Starts a call without waiting for its outcome.
    pub fn call(&self, call: Call<T>) {
        // The send fails only after the thread has ended, which it has logged.
        let _ = self.calls.send(call);
    }
}

fn run<T: 'static>(
    mut calls: mpsc::UnboundedReceiver<Call<T>>,
    connections: usize,
    on_outcome: impl Fn(T, Outcome) + 'static,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            return log::error!("cannot create the runtime for calls to targets: {error}")
        }
    };
    let on_outcome = Rc::new(on_outcome);
    let pool = Rc::new(Pool::new(connections));
    LocalSet::new().block_on(&runtime, async {
        while let Some(call) = calls.recv().await {
            let (pool, on_outcome) = (pool.clone(), on_outcome.clone());
            tokio::task::spawn_local(async move {
                let (context, outcome) = pool.call(call).await;
                on_outcome(context, outcome);
            });
        }
    });
}
