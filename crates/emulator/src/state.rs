//! State shared by all fake backends: identity, faults, ledger and load. Also checks the headers
//! that every request must carry.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use http::{HeaderMap, HeaderValue, Response, StatusCode};

use crate::faults::{FaultInjector, RequestFaults};
use crate::headers;
use crate::http::{Body, text_response};
use crate::identity::Identity;
use crate::ledger::{Ledger, LedgerEntry};

/// State of a fake backend; it survives restarts in place.
#[derive(Debug)]
pub(crate) struct BackendState {
    identity: RwLock<Identity>,
    pub(crate) faults: FaultInjector,
    pub(crate) ledger: Ledger,
    running: AtomicU32,
    pub(crate) slots: u32,
}

impl BackendState {
    pub(crate) fn new(identity: Identity, ledger: Ledger, slots: u32) -> Self {
        let state = Self {
            identity: RwLock::new(identity),
            faults: FaultInjector::default(),
            ledger,
            running: AtomicU32::new(0),
            slots,
        };
        state.record(LedgerEntry::Started);
        state
    }

    pub(crate) fn identity(&self) -> Identity {
        self.identity.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_identity(&self, identity: Identity) {
        *self.identity.write().unwrap_or_else(PoisonError::into_inner) = identity;
        self.record(LedgerEntry::Started);
    }

    pub(crate) fn record(&self, entry: LedgerEntry) {
        self.ledger.add(&self.identity(), entry);
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request as running until the returned guard is dropped.
    pub(crate) fn count_running(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard { state: self.clone() }
    }

    /// Checks the headers of a request for work and selects the faults that apply to it. Returns
    /// the response to send if the request is not run.
    pub(crate) fn admit(
        &self,
        request: &HeaderMap,
        route: &str,
    ) -> Result<(RequestId, RequestFaults), Box<Response<Body>>> {
        let id = RequestId::from_headers(request).ok_or_else(|| {
            text_response(StatusCode::BAD_REQUEST, "x-hooklug-request is missing")
        })?;
        let identity = self.identity();
        let expected = header_text(request, headers::EXPECT);
        if expected.is_some_and(|e| e != identity.to_string()) {
            return Err(Box::new(self.refusal(&id, StatusCode::CONFLICT, "identity")));
        }
        if self.faults.get().draining {
            return Err(Box::new(self.refusal(&id, StatusCode::SERVICE_UNAVAILABLE, "draining")));
        }
        let faults = self.faults.select(route, self.running());
        if faults.refuse {
            return Err(Box::new(self.refusal(&id, StatusCode::SERVICE_UNAVAILABLE, "overloaded")));
        }
        if faults.fail {
            let failed = text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed on purpose");
            return Err(Box::new(self.with_identity(&id, failed)));
        }
        Ok((id, faults))
    }

    /// Builds a response that states explicitly that the request was not run.
    pub(crate) fn refusal(
        &self,
        id: &RequestId,
        status: StatusCode,
        reason: &'static str,
    ) -> Response<Body> {
        let mut response = text_response(status, reason);
        response.headers_mut().insert(headers::REFUSED, HeaderValue::from_static(reason));
        self.with_identity(id, response)
    }

    /// Adds the headers with the request id and the identity of this backend.
    pub(crate) fn with_identity(
        &self,
        id: &RequestId,
        mut response: Response<Body>,
    ) -> Response<Body> {
        let identity_headers =
            [(headers::REQUEST, id.0.clone()), (headers::ENGINE, self.identity().to_string())];
        for (name, value) in identity_headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

/// Request id, as sent by the gateway or engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestId(pub(crate) String);

impl RequestId {
    pub(crate) fn from_headers(request: &HeaderMap) -> Option<Self> {
        header_text(request, headers::REQUEST).map(|id| Self(id.to_owned()))
    }
}

/// Guard that counts a request as running.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    state: Arc<BackendState>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A header value as text; `None` if it is missing or not ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
