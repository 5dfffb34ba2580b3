//! Settings of admission control and their validation.

use basaltward_membership::{Micros, SiteMap};
use thiserror::Error;

/// Properties of a call class that admission control uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassSettings {
    /// Value of one answer within the aim, 0 or more; classes of higher value are admitted first.
    pub value: f64,
    /// Target time: an answer within this time counts as served.
    pub aim: Micros,
    /// Total time that clients wait for an answer, further attempts included.
    pub deadline: Micros,
}

/// Settings of admission control. All gateways must use the same values, except for the gateway's own position in
/// `site_map` and for `loops`.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Call classes, in the order of the configuration.
    pub classes: Vec<ClassSettings>,
    /// Quota of each tenant in calls per second over all gateways; empty without tenants.
    pub quotas: Vec<f64>,
    /// Value of a call above its tenant's quota, as a fraction (0 to 1) of the value of its class.
    pub over_share_value: f64,
    /// Site of each gateway, this one included.
    pub site_map: SiteMap,
    /// Number of traffic loops of this gateway.
    pub loops: usize,
    /// Fleet-wide budget of retries outside the scheduled retry times, as a fraction (0 to 1) of first attempts.
    pub retry_share: f64,
    /// Interval at which this gateway publishes its load; at least 50 ms.
    pub publish_interval: Micros,
    /// Age from which a peer's published load is ignored; at least four publish intervals. A share table is valid
    /// for a fifth of it.
    pub load_ttl: Micros,
}

/// Reason why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, strum::VariantNames)]
pub enum AdmissionError {
    /// No call class is configured.
    #[error("no call class is configured; configure at least one")]
    #[strum(serialize = "NoClass")]
    NoClasses,
    /// More (class, tenant) pairs than published facts can index.
    #[error("{0} pairs of class and tenant exceed the maximum of 16383; merge classes or tenants")]
    #[strum(serialize = "Cells")]
    TooManyCells(usize),
    /// The value, aim or deadline of the class with this index is invalid.
    #[error("class {0}: worth must be a finite number of at least 0, and aim and deadline must be above 0")]
    #[strum(serialize = "Class")]
    InvalidClass(usize),
    /// The named setting is out of its range.
    #[error("{0} is out of range; see the settings of sites")]
    #[strum(serialize = "Figure")]
    OutOfRange(&'static str),
}

impl AdmissionSettings {
    /// Settings with default values: one loop, retry budget 20%, publish interval 500 ms, load TTL 5 s, and the full
    /// value of the class for calls above a quota.
    pub fn new(classes: Vec<ClassSettings>, quotas: Vec<f64>, site_map: SiteMap) -> Self {
        Self {
            classes,
            quotas,
            over_share_value: 1.0,
            site_map,
            loops: 1,
            retry_share: 0.2,
            publish_interval: 500_000,
            load_ttl: 5_000_000,
        }
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first setting found missing or out of range.
    pub fn validate(&self) -> Result<(), AdmissionError> {
        if self.classes.is_empty() {
            return Err(AdmissionError::NoClasses);
        }
        if self.cell_count() >= 1 << 14 {
            return Err(AdmissionError::TooManyCells(self.cell_count()));
        }
        let is_fraction = |setting: f64| (0.0..=1.0).contains(&setting);
        let valid = |c: &ClassSettings| c.value.is_finite() && c.value >= 0.0 && c.aim > 0 && c.deadline > 0;
        if let Some(class) = self.classes.iter().position(|class| !valid(class)) {
            return Err(AdmissionError::InvalidClass(class));
        }
        let checks = [
            ("quota of a tenant", self.quotas.iter().all(|quota| quota.is_finite() && *quota >= 0.0)),
            ("over_share_worth", is_fraction(self.over_share_value)),
            ("retry_share", is_fraction(self.retry_share)),
            ("number of loops", self.loops > 0),
            ("tell", self.publish_interval >= 50_000),
            ("stands", self.load_ttl >= self.publish_interval * 4),
        ];
        match checks.iter().find(|(_, valid)| !valid) {
            Some((name, _)) => Err(AdmissionError::OutOfRange(name)),
            None => Ok(()),
        }
    }

    /// Number of tenants; 1 if none are configured.
    pub fn tenant_count(&self) -> usize {
        self.quotas.len().max(1)
    }

    /// Number of cells. A cell is a (class, tenant) pair.
    pub fn cell_count(&self) -> usize {
        self.classes.len() * self.tenant_count()
    }

    /// Cell index of a class and a tenant. An index out of range is mapped to the last class or tenant.
    pub fn cell(&self, class: usize, tenant: usize) -> usize {
        class.min(self.classes.len() - 1) * self.tenant_count() + tenant.min(self.tenant_count() - 1)
    }

    /// Queue wait that the capacity estimator steers towards: a fifth of the shortest aim, 5 ms to 250 ms.
    pub fn target_wait(&self) -> Micros {
        let shortest = self.classes.iter().map(|class| class.aim).min().unwrap_or_default();
        (shortest / 5).clamp(5_000, 250_000)
    }
}
