//! JSON-RPC calls: binds a call to its pool and converts the engine's response to its answer.

use super::answer::{self, LOOP_DETECTED};
use super::connection::Client;
use super::exchange::{BoundCall, FinishedCall};
use crate::backend::{self, jsonrpc};
use crate::engine::{self, FinalResponse, IncomingRequest, Response, retry_after};
use crate::frontend::reservations::PendingRequestGuard;
use crate::metrics::ResponseKind;
use crate::retry_budget::{RequestBudget, read_jsonrpc_claim};
use crate::router::RoutingRequest;
use crate::safety::ClientHandle;
use bytes::Bytes;
use heathroad_balancer::api::Idempotency;
use heathroad_jsonrpc::message::{
    Call, INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, NULL_ID, RequestError,
};
use heathroad_jsonrpc::pointer::{self, FindError};
use heathroad_jsonrpc::write;
use heathroad_retry_budget::loop_detection::RequestFingerprint;
use heathroad_routing::config::{Listener, Method, TenantSource};
use heathroad_routing::traffic_split::stable_hash;
use hyper::header::HeaderMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The parameters of a call that has none.
const NO_PARAMS: &str = "[]";

fn invalid_call(code: i64, expected: &'static str) -> RequestError {
    RequestError {
        code,
        expected,
        id: NULL_ID,
    }
}

/// Returns the error for a call whose parameters lack a value or contain it more than once.
fn missing_value(error: FindError, expected: &'static str) -> RequestError {
    match error {
        FindError::NotFound => invalid_call(INVALID_PARAMS, expected),
        FindError::DuplicateName => invalid_call(
            INVALID_PARAMS,
            "each name on the way to a key or tenant once",
        ),
    }
}

fn params(call: &Call) -> &str {
    let params = call
        .params
        .as_ref()
        .and_then(|params| std::str::from_utf8(params).ok());
    params.unwrap_or(NO_PARAMS)
}

/// Returns the idempotency key of a call, if its method has one.
fn idempotency_key(call: &Call, method: &Method) -> Result<Option<String>, RequestError> {
    let Some(pointer) = &method.key else {
        return Ok(None);
    };
    let expected = "a key where the method looks for it";
    let key = pointer
        .find(params(call))
        .map_err(|error| missing_value(error, expected))?;
    Ok(Some(key.get().to_string()))
}

/// Returns the call that attempts send to a backend.
fn to_backend_call(call: Call, transport: jsonrpc::Transport) -> jsonrpc::Call {
    jsonrpc::Call {
        method: call.raw_method,
        params: call.params,
        is_notification: call.id.is_none(),
        transport,
    }
}

impl Client {
    /// Validates a call and binds it to its pool.
    pub(super) fn bind_call(
        &self,
        call: Call,
        received_at: Instant,
    ) -> Result<BoundCall, RequestError> {
        let generation = self.frontend().pools.current_generation();
        let listeners = &generation.config.listeners;
        let listener = listeners
            .iter()
            .find(|listener| listener.name == self.listener().name);
        let method = listener.and_then(|listener| {
            let configured = listener.methods.get(&call.method);
            configured.or(listener.default_method.as_ref())
        });
        let unknown_method = invalid_call(METHOD_NOT_FOUND, "a method of this listener");
        let (listener, method) = listener.zip(method).ok_or(unknown_method)?;
        let tenant = self.tenant_name(&call, listener)?;
        let tenant_index = self.tenant_index(tenant.as_deref())?;
        let key = idempotency_key(&call, method)?;
        let route_key = key
            .as_deref()
            .map_or(call.id.as_deref().unwrap_or_default(), str::as_bytes);
        let bound = self.frontend().pools.bind(&RoutingRequest {
            listener: &listener.name,
            method: &call.method,
            host: "",
            path: "",
            class: &method.class,
            tenant: tenant.as_deref().unwrap_or_default(),
            headers: &HeaderMap::new(),
            key: route_key,
        });
        let no_route = "a method that some route takes to where it is served";
        let bound = bound.ok_or(invalid_call(METHOD_NOT_FOUND, no_route))?;
        let transport = bound
            .transport
            .ok_or(invalid_call(METHOD_NOT_FOUND, no_route))?;
        if matches!(bound.idempotency, Idempotency::Deduplicated { .. }) && key.is_none() {
            return Err(invalid_call(INVALID_PARAMS, "a key"));
        }
        let timeout = bound.deadline.unwrap_or_default();
        let fingerprint = RequestFingerprint {
            key: key.as_deref().map_or(0, |key| stable_hash(key.as_bytes())),
            class: bound.class,
            tenant: tenant_index,
        };
        let budget = self.admit_budget(&call, fingerprint, timeout)?;
        let id = call.id.clone();
        let incoming = IncomingRequest {
            call: backend::Call::JsonRpc(to_backend_call(call, transport)),
            class: bound.class,
            tenant: tenant_index,
            key: key.as_deref().map_or(0, engine::hash_key),
            received_at,
            timeout,
            budget,
            activity: bound.activity.clone(),
        };
        Ok(BoundCall {
            id,
            incoming,
            bound,
        })
    }

    /// Returns the name of a call's tenant, if the listener has tenants.
    fn tenant_name(
        &self,
        call: &Call,
        listener: &Listener,
    ) -> Result<Option<String>, RequestError> {
        match &listener.tenant_source {
            TenantSource::None => Ok(None),
            TenantSource::Fixed(name) => Ok(Some(name.clone())),
            TenantSource::ClientAddress(by_address) => {
                let unknown_address = invalid_call(INVALID_REQUEST, "an address with a tenant");
                let name = by_address.get(&self.peer).ok_or(unknown_address)?;
                Ok(Some(name.clone()))
            }
            TenantSource::Params(pointer) => {
                let expected = "a tenant where the listener looks for it";
                let value = pointer.find(params(call));
                let value = value.map_err(|error| missing_value(error, expected))?;
                let name = pointer::as_string(value);
                Ok(Some(name.ok_or(invalid_call(
                    INVALID_PARAMS,
                    "a tenant that is a text",
                ))?))
            }
        }
    }

    fn tenant_index(&self, name: Option<&str>) -> Result<u16, RequestError> {
        let tenants = &self.frontend().settings.site.tenants;
        if tenants.is_empty() {
            return Ok(0);
        }
        let index = tenants
            .iter()
            .position(|tenant| Some(tenant.as_str()) == name);
        Ok(index.ok_or(invalid_call(INVALID_PARAMS, "a known tenant"))? as u16)
    }

    fn admit_budget(
        &self,
        call: &Call,
        fingerprint: RequestFingerprint,
        timeout: Duration,
    ) -> Result<Option<RequestBudget>, RequestError> {
        let Some(budgets) = &self.frontend().budgets else {
            return Ok(None);
        };
        let claim = read_jsonrpc_claim(&call.budget_members, budgets.is_trusted(self.peer));
        let admitted = budgets.admit(claim, fingerprint, timeout);
        let expected = "a call that has not passed this proxy before, nor too many";
        Ok(Some(
            admitted.map_err(|_| invalid_call(LOOP_DETECTED, expected))?,
        ))
    }

    /// Runs a call through the engine.
    #[allow(
        clippy::manual_async_fn,
        reason = "the future of an async function would hold its arguments twice"
    )]
    pub(super) fn run_call(
        self: Rc<Self>,
        exchange: u64,
        call: BoundCall,
        client: ClientHandle,
    ) -> impl Future<Output = FinishedCall> {
        async move {
            let BoundCall {
                id,
                incoming,
                bound,
            } = call;
            let _pending = PendingRequestGuard::new(&self.frontend().table);
            let FinalResponse {
                response,
                retries_spent,
            } = bound.engine.handle_request(incoming, Some(client)).await;
            let is_rejected = matches!(response, Response::Rejected { .. });
            let member = match response {
                Response::Served(member) => member,
                Response::Rejected { retry_after } => answer::rejected(retry_after),
                Response::Failed => answer::failed(),
                Response::TimedOut => answer::timed_out(),
            };
            let member = match retries_spent {
                Some(spent) => write::with_retries_spent(&member, &spent.to_string()),
                None => member,
            };
            FinishedCall {
                exchange,
                id,
                member,
                is_rejected,
            }
        }
    }

    /// Rejects a call that was not started.
    pub(super) fn reject_call(&self, exchange: u64, call: BoundCall) -> FinishedCall {
        let BoundCall {
            id,
            incoming,
            bound,
        } = call;
        bound.engine.metrics().record_response(
            incoming.class,
            incoming.tenant,
            ResponseKind::Rejected,
        );
        let member = answer::rejected(retry_after(&self.frontend().settings));
        FinishedCall {
            exchange,
            id,
            member,
            is_rejected: false,
        }
    }

    /// Counts an invalid call and returns its answer.
    pub(super) fn reject_malformed(&self, error: &RequestError) -> Bytes {
        let status = match error.code {
            METHOD_NOT_FOUND => 404,
            INVALID_PARAMS => 422,
            LOOP_DETECTED => 508,
            _ => 400,
        };
        self.frontend().pools.metrics().record_unusable(status);
        answer::malformed(error)
    }
}
