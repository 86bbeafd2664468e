//! Tenant quotas: one token bucket per tenant, refilled with this replica's part of the quota.
//!
//! A request beyond its tenant's quota is demoted to low priority, not rejected.

use crate::api::Settings;

/// Minimum capacity of a bucket in tokens.
const MIN_CAPACITY: f64 = 2.0;

#[derive(Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at: f64,
}

/// The token buckets of all tenants.
#[derive(Default)]
pub(crate) struct TenantQuotas {
    buckets: Vec<Bucket>,
    /// The refill rate of each tenant's bucket in tokens per second.
    rates: Vec<f64>,
}

impl TenantQuotas {
    pub fn new(settings: &Settings) -> Self {
        let replicas = f64::from(settings.replica_count);
        let rates = settings.tenants.iter().map(|t| t.quota_per_s / replicas);
        let full = Bucket {
            tokens: f64::MAX,
            refilled_at: 0.0,
        };
        TenantQuotas {
            buckets: vec![full; settings.tenants.len()],
            rates: rates.collect(),
        }
    }

    /// Returns whether the tenant has a quota.
    pub fn is_known(&self, tenant: usize) -> bool {
        tenant < self.buckets.len()
    }

    /// Takes a token for a request of the tenant. Returns false if there is none; a tenant without
    /// a quota always has one.
    pub fn try_charge(&mut self, now: f64, tenant: usize) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return true;
        };
        let rate = self.rates[tenant];
        let refilled = bucket.tokens + rate * (now - bucket.refilled_at) / 1000.0;
        let tokens = refilled.min(rate.max(MIN_CAPACITY));
        let charged = tokens >= 1.0;
        bucket.tokens = if charged { tokens - 1.0 } else { tokens };
        bucket.refilled_at = now;
        charged
    }

    /// Returns a token to the tenant's bucket.
    pub fn refund(&mut self, tenant: usize) {
        self.buckets[tenant].tokens += 1.0;
    }
}
