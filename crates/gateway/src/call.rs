//! A caller's request after validation, with its route and deadline.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_protocol::{Digest, ErrorKind, PRIORITIES};

use crate::body_reader::WholeBody;
use crate::header_names::HeaderNames;
use crate::headers::{self, asked_answer};
use crate::manifest::{RequestKind, Route, Target};
use crate::route_table::{Organisation, RouteTable};
use sardinepin_decisions::direct::AllowedRegions;
use sardinepin_decisions::direct::RequestNumber;
use sardinepin_decisions::direct::UpstreamSpec;
use sardinepin_decisions::{AskedAnswer, Traits};

/// The length of a body that the system of an upstream takes though the upstream does not read it.
const UNREAD_BYTES: usize = 8 * 1024;

/// A validated request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) number: RequestNumber,
    pub(crate) id: HeaderValue,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) priority: u8,
    /// The regions that its route and its organisation both allow.
    pub(crate) regions: AllowedRegions,
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// When its head had been read.
    pub(crate) received_at: Millis,
    /// When the caller's own timeout or the route's timeout passes, whichever is first.
    pub(crate) deadline: Millis,
    /// The most tokens that its answer may have, if it says so.
    pub(crate) answer_tokens: Option<u64>,
    /// Whether the caller seems to come back after a refusal.
    pub(crate) returning: bool,
    /// The traits that it runs to find out about, if it is a test of a culprit.
    pub(crate) probed: Vec<Digest>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: WholeBody,
    /// The digest of the request, once it has been needed.
    digest: OnceLock<Digest>,
    /// The digests of the shared parts of its prompt.
    parts: Vec<Digest>,
}

/// The validated head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) id: HeaderValue,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    /// How long the request may take.
    pub(crate) timeout: Millis,
}

impl RequestHead {
    /// Validates the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is rejected.
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
        let caller_timeout = headers::number(&parts.headers, &names.deadline_ms).map(Millis);
        Ok(Self {
            id,
            route: Arc::clone(route),
            organisation: organisation.cloned(),
            timeout: caller_timeout.unwrap_or(route.timeout).min(route.timeout),
        })
    }
}

/// Returns the API key in the `authorization` field.
fn api_key<'a>(names: &HeaderNames, parts: &'a Parts) -> Option<&'a str> {
    let value = headers::text(&parts.headers, &header::AUTHORIZATION)?;
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(&names.auth_scheme)
        .then(|| key.trim())
}

impl Call {
    /// Creates the request after its body has been read.
    pub(crate) fn new(
        names: &HeaderNames,
        head: RequestHead,
        parts: Parts,
        body: WholeBody,
        number: RequestNumber,
        received_at: Millis,
    ) -> Self {
        let route = head.route;
        let parts_of_prompt = shared_parts(names, &parts.headers);
        let parts_of_prompt = parts_of_prompt.map(|id| Digest::of(&[b"part", id.as_bytes()]));
        let priority = head
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        Self {
            number,
            id: head.id,
            service: pick_service(&route.targets),
            priority: priority.unwrap_or(route.priority),
            regions: allowed_regions(&route, head.organisation.as_deref()),
            organisation: head.organisation,
            received_at,
            deadline: received_at + head.timeout,
            answer_tokens: answer_tokens(names, &parts.headers),
            returning: false,
            probed: Vec::new(),
            parts: parts_of_prompt.collect(),
            headers: headers::to_upstream(names, &parts.headers),
            method: parts.method,
            uri: parts.uri,
            body,
            digest: OnceLock::new(),
            route,
        }
    }

    /// Returns the time that the request may take.
    pub(crate) fn timeout(&self) -> Millis {
        self.deadline.since(self.received_at)
    }

    /// Returns the number of the last event that the caller received from an earlier stream.
    pub(crate) fn last_event_id(&self, names: &HeaderNames) -> Option<u64> {
        headers::number(&self.headers, &names.last_event_id)
    }

    /// Returns whether the caller asks for the rest of an earlier stream.
    pub(crate) fn is_resumed(&self, names: &HeaderNames) -> bool {
        self.last_event_id(names).is_some()
    }

    /// Builds the request that is sent to an upstream.
    pub(crate) fn to_upstream(
        &self,
        names: &HeaderNames,
        spec: &UpstreamSpec,
        time_left: Millis,
        last_event_id: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.bytes.clone()))?;
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
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(time_left.0));
        if spec.group.is_some() {
            // A model engine queues by priority; other services may give the field another meaning.
            let priority = self.priority.min(PRIORITIES as u8 - 1);
            headers.insert(
                names.priority.clone(),
                HeaderValue::from(u16::from(priority)),
            );
        }
        if let Some(last) = last_event_id {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
        Ok(request)
    }

    /// Returns the identifiers of the parts of the prompt that other requests share: all but the last.
    pub(crate) fn shared_parts(&self, names: &HeaderNames) -> impl Iterator<Item = &str> {
        shared_parts(names, &self.headers)
    }

    /// Returns the digests of these parts.
    pub(crate) fn parts(&self) -> &[Digest] {
        &self.parts
    }

    /// Returns the traits by which requests that crash upstreams are told from others.
    pub(crate) fn traits(&self) -> Traits<'_> {
        Traits {
            request: self.digest(),
            parts: &self.parts,
        }
    }

    /// Returns a digest that is equal for repetitions of the request and differs for other
    /// requests.
    pub(crate) fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| self.compute_digest())
    }

    fn compute_digest(&self) -> Digest {
        let organisation = self.organisation.as_ref();
        let organisation = organisation.map_or("", |organisation| &*organisation.name);
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        Digest::of(&[
            organisation.as_bytes(),
            self.method.as_str().as_bytes(),
            self.route.host.as_bytes(),
            path.as_bytes(),
            &self.body.bytes,
        ])
    }

    /// Returns whether an upstream that does not read may leave a part of the request unacknowledged.
    pub(crate) fn is_large(&self) -> bool {
        self.body.bytes.len() > UNREAD_BYTES
    }

    /// Returns whether the request was let through to find out about a culprit.
    pub(crate) fn is_probe(&self) -> bool {
        !self.probed.is_empty()
    }

    /// Returns the request identifier as text, for the log.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Returns what the caller asks for besides the whole resource.
    pub(crate) fn asked_answer(&self) -> AskedAnswer {
        asked_answer(&self.headers)
    }

    /// Returns whether a response of this status has no body, whatever its fields say.
    pub(crate) fn allows_no_body(&self, status: StatusCode) -> bool {
        let is_empty = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        self.method == Method::HEAD || is_empty
    }

    /// Returns whether the response is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind.is_stream()
    }

    /// Returns whether a broken stream may be resumed at another upstream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.kind == RequestKind::Stream { resumable: true }
    }
}

/// Returns the most tokens that the answer to a request may have.
fn answer_tokens(names: &HeaderNames, headers: &HeaderMap) -> Option<u64> {
    let counts = headers::text(headers, &names.token_counts)?;
    let (_, answer) = counts.split_once(',')?;
    answer.trim().parse().ok()
}

/// Returns the identifiers of all parts of a prompt but the last.
fn shared_parts<'a>(
    names: &HeaderNames,
    headers: &'a HeaderMap,
) -> impl Iterator<Item = &'a str> + use<'a> {
    let list = headers::text(headers, &names.prompt_parts);
    let shared = list.and_then(|list| list.rsplit_once(','));
    let entries = shared.into_iter().flat_map(|(shared, _)| shared.split(','));
    entries.filter_map(|entry| entry.split(':').next().map(str::trim))
}

/// Returns the regions that a route and an organisation both allow.
fn allowed_regions(route: &Route, organisation: Option<&Organisation>) -> AllowedRegions {
    match organisation {
        Some(organisation) => route.regions.both(&organisation.regions),
        None => route.regions.clone(),
    }
}

/// Picks a service at random, in proportion to the weights.
fn pick_service(targets: &[Target]) -> Arc<str> {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return targets
            .first()
            .map_or_else(|| Arc::from(""), |target| Arc::clone(&target.service));
    }
    let mut remaining_weight = rand::rng().random_range(0..total);
    for target in targets {
        if remaining_weight < target.weight {
            return Arc::clone(&target.service);
        }
        remaining_weight -= target.weight;
    }
    Arc::from("")
}
