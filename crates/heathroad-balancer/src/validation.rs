//! Validates settings: every number must be finite and in its range.

use crate::api::{Settings, SettingsError};

/// Minimum latency objective in ms.
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1e-3;

/// Returns an error that names the first invalid setting by its path in the settings file.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let replicas = f64::from(settings.replica_count);
    let replicas_after_index = replicas - f64::from(settings.replica_index) - 1.0;
    let guarantees = &settings.guarantees;
    let objectives = &settings.objectives;
    let values = [
        ("peersTotal", replicas - 1.0),
        ("slotNo", replicas_after_index),
        ("tick", settings.tick),
        ("overShareWorth", settings.over_quota_priority),
        ("guarantees.coldFrom", guarantees.slow_start_floor),
        ("guarantees.cold", guarantees.slow_start_duration),
        ("guarantees.fallMultiple", guarantees.overload_multiple),
        ("guarantees.askWithin", guarantees.max_poll_interval),
        ("guarantees.releaseWithin", guarantees.idle_close_within),
        (
            "guarantees.settleAfterDoubt",
            guarantees.unknown_outcome_delay,
        ),
        ("goal.worstClass", objectives.worst_class_weight),
        ("prices.crossZone", objectives.cross_zone_price),
        ("caps.maxRetryAfter", settings.limits.max_retry_after),
        ("classes", settings.classes.len() as f64 - 1.0),
    ];
    for (field, value) in values {
        validate_value(value, || field.to_string())?;
    }
    for (i, class) in settings.classes.iter().enumerate() {
        let above_minimum = class.latency_objective - MIN_LATENCY_OBJECTIVE_MS;
        validate_value(above_minimum, || format!("classes[{i}].aim"))?;
        validate_value(class.priority_weight, || format!("classes[{i}].points"))?;
    }
    for (i, tenant) in settings.tenants.iter().enumerate() {
        validate_value(tenant.quota_per_s, || format!("tenants[{i}].quotaPerS"))?;
    }
    Ok(())
}

/// Returns an error unless a number is finite and not negative.
fn validate_value(value: f64, field: impl FnOnce() -> String) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(SettingsError {
        field: field(),
        reason: "is missing, negative, not finite or out of range",
    })
}
