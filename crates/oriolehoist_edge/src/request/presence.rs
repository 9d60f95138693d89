use {std::future::Future, tokio::sync::watch};

/// Whether the caller of a request is still connected, and whether the request may be at a server.
///
/// A request whose caller has left is given up at once if it is idempotent. Otherwise it is given up
/// only while it is not at a server: one that runs there ends by itself, so that it does not end in
/// the middle.
#[derive(Clone, Debug)]
pub(crate) struct CallerPresence {
    state: watch::Sender<PresenceState>,
    idempotent: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct PresenceState {
    has_left: bool,
    at_server: bool,
}

/// A request that may be at a server, until this value is dropped.
pub(crate) struct AtServer<'a>(&'a CallerPresence);

impl Drop for AtServer<'_> {
    fn drop(&mut self) {
        self.0.state.send_modify(|state| state.at_server = false);
    }
}

impl CallerPresence {
    /// Creates the state of a request whose caller is connected.
    pub(crate) fn new(idempotent: bool) -> CallerPresence {
        CallerPresence { state: watch::Sender::default(), idempotent }
    }

    /// Records that the caller has left.
    pub(crate) fn leave(&self) {
        self.state.send_modify(|state| state.has_left = true);
    }

    /// Records that the request may be at a server from now on. Never returns if the caller has
    /// left, so that the request is given up instead.
    pub(crate) async fn enter_server(&self) -> AtServer<'_> {
        if self.state.borrow().has_left {
            std::future::pending::<()>().await;
        }
        self.state.send_modify(|state| state.at_server = true);
        AtServer(self)
    }

    /// Runs a request. Returns `None` if it is given up, which drops `response` and closes the
    /// connection to the server.
    pub(crate) async fn run_while_wanted<T>(&self, response: impl Future<Output = T>) -> Option<T> {
        let mut states = self.state.subscribe();
        let is_given_up =
            |state: &PresenceState| state.has_left && (self.idempotent || !state.at_server);
        let given_up = async {
            // The sender outlives this call. The lock on the state has to be released before the
            // response is dropped, which changes the state.
            drop(states.wait_for(is_given_up).await);
        };
        tokio::select! {
            biased;
            () = given_up => None,
            response = response => Some(response),
        }
    }
}
