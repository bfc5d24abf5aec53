//! One caller's request: checked, classified and bounded in time.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_protocol::{Digest, ErrorKind};

use crate::balancer::RequestNumber;
use crate::header_names::HeaderNames;
use crate::headers;
use crate::manifest::{RequestKind, Route, Target};
use crate::route_table::{Organisation, RouteTable};
use crate::upstream_spec::UpstreamSpec;

/// A caller's request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) number: RequestNumber,
    pub(crate) id: HeaderValue,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) priority: u8,
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// When its head had been read.
    pub(crate) received_at: Millis,
    /// When the caller stops waiting, or the route's timeout passes.
    pub(crate) deadline: Millis,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// What the head of a request shows.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) id: HeaderValue,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

impl RequestHead {
    /// Checks the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is turned down.
    pub(crate) fn read(
        names: &HeaderNames,
        table: &RouteTable,
        parts: &Parts,
    ) -> Result<Self, ErrorKind> {
        let id = parts.headers.get(&names.request_id);
        let id = id.ok_or(ErrorKind::BadRequest)?.clone();
        let host = headers::text(&parts.headers, &header::HOST)
            .or_else(|| parts.uri.host())
            .ok_or(ErrorKind::BadRequest)?;
        let route = table
            .route(host, parts.uri.path())
            .ok_or(ErrorKind::NoService)?;
        let organisation = api_key(names, parts).and_then(|key| table.organisation(key));
        if table.requires_key() && !route.public && organisation.is_none() {
            return Err(ErrorKind::NoOrganisation);
        }
        Ok(Self {
            id,
            route: Arc::clone(route),
            organisation: organisation.cloned(),
        })
    }
}

/// Returns the key that a caller shows.
fn api_key<'a>(names: &HeaderNames, parts: &'a Parts) -> Option<&'a str> {
    let value = headers::text(&parts.headers, &header::AUTHORIZATION)?;
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(&names.auth_scheme)
        .then(|| key.trim())
}

impl Call {
    /// Puts a request together once its body is there.
    pub(crate) fn new(
        names: &HeaderNames,
        head: RequestHead,
        parts: Parts,
        body: Bytes,
        ticket: RequestNumber,
        received_at: Millis,
    ) -> Self {
        let route = head.route;
        let caller = headers::number(&parts.headers, &names.deadline_ms).map(Millis);
        let time = caller.map_or(route.timeout, |caller| caller.min(route.timeout));
        let priority = head
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        Self {
            number: ticket,
            id: head.id,
            service: pick_service(&route.targets),
            priority: priority.unwrap_or(route.priority),
            organisation: head.organisation,
            received_at,
            deadline: received_at + time,
            headers: headers::to_upstream(names, &parts.headers),
            method: parts.method,
            uri: parts.uri,
            body,
            route,
        }
    }

    /// Returns the last event that the caller has from an earlier stream.
    pub(crate) fn last_event_id(&self, names: &HeaderNames) -> Option<u64> {
        headers::number(&self.headers, &names.last_event_id)
    }

    /// Returns the request as it is sent to an upstream.
    pub(crate) fn to_upstream(
        &self,
        names: &HeaderNames,
        spec: &UpstreamSpec,
        left: Millis,
        last_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        if let Some(organisation) = &self.organisation {
            let name = HeaderValue::from_str(&organisation.name)?;
            headers.insert(names.organisation.clone(), name);
        }
        headers.insert(
            names.target_upstream.clone(),
            HeaderValue::from_str(&spec.id)?,
        );
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left.0));
        if let Some(last) = last_event {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
        Ok(request)
    }

    /// Returns what tells the request from others, but not from its repetitions.
    pub(crate) fn digest(&self) -> Digest {
        let organisation = self.organisation.as_ref();
        let organisation = organisation.map_or("", |organisation| &*organisation.name);
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        Digest::of(&[
            organisation.as_bytes(),
            self.method.as_str().as_bytes(),
            self.route.host.as_bytes(),
            path.as_bytes(),
            &self.body,
        ])
    }

    /// Returns the identifier as text, for the log.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind.is_stream()
    }

    /// Returns whether a stream that broke off may go on at another upstream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.kind == RequestKind::Stream { resumable: true }
    }
}

/// Draws a destination by weight.
fn pick_service(targets: &[Target]) -> Arc<str> {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return targets
            .first()
            .map_or_else(|| Arc::from(""), |target| Arc::clone(&target.service));
    }
    let mut left = rand::rng().random_range(0..total);
    for target in targets {
        if left < target.weight {
            return Arc::clone(&target.service);
        }
        left -= target.weight;
    }
    Arc::from("")
}
