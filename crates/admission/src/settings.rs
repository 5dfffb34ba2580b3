use basaltward_membership::{Micros, SiteMap};
use thiserror::Error;

/// A class of calls, as the door needs to know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassSettings {
    /// Worth of one answer in time.
    pub value: f64,
    /// An answer within this span is served.
    pub aim: Micros,
    /// How long its clients wait in all.
    pub deadline: Micros,
}

/// Figures of what the fleet sheds. All gateways need the same, but for `places` and `loops`.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Classes, in the order of the settings.
    pub classes: Vec<ClassSettings>,
    /// Calls a second within each tenant's share, over all gateways; empty without tenants.
    pub quotas: Vec<f64>,
    /// Worth of a call past its tenant's share, as a share of its class's.
    pub over_share_value: f64,
    /// Which gateway stands at which site, ours among them.
    pub site_map: SiteMap,
    /// Traffic loops of this gateway.
    pub loops: usize,
    /// Retries that nobody asked for, as a share of first tries, over the fleet.
    pub retry_share: f64,
    /// Our load is told so often.
    pub publish_interval: Micros,
    /// Load that was told longer ago is not believed; a table holds for a fifth of it.
    pub load_ttl: Micros,
}

/// Why settings can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, strum::VariantNames)]
pub enum AdmissionError {
    /// There is no class.
    #[error("no class of calls is configured: give at least one")]
    #[strum(serialize = "NoClass")]
    NoClasses,
    /// There are more pairs of class and tenant than facts can name.
    #[error("{0} pairs of class and tenant: at most 16383 can be told apart, so merge classes or tenants")]
    #[strum(serialize = "Cells")]
    TooManyCells(usize),
    /// A class's worth or times can't be used.
    #[error("class {0}: worth has to be a number of 0 or more, aim and deadline above 0")]
    #[strum(serialize = "Class")]
    InvalidClass(usize),
    /// A figure is out of its range.
    #[error("{0} is out of its range: see the settings of sites")]
    #[strum(serialize = "Figure")]
    OutOfRange(&'static str),
}

impl AdmissionSettings {
    /// The usual figures.
    pub fn new(classes: Vec<ClassSettings>, quotas: Vec<f64>, places: SiteMap) -> Self {
        Self {
            classes,
            quotas,
            over_share_value: 1.0,
            site_map: places,
            loops: 1,
            retry_share: 0.2,
            publish_interval: 500_000,
            load_ttl: 5_000_000,
        }
    }

    /// Checks them.
    ///
    /// # Errors
    /// Where they can't be used.
    pub fn validate(&self) -> Result<(), AdmissionError> {
        if self.classes.is_empty() {
            return Err(AdmissionError::NoClasses);
        }
        if self.cell_count() >= 1 << 14 {
            return Err(AdmissionError::TooManyCells(self.cell_count()));
        }
        let share = |figure: f64| (0.0..=1.0).contains(&figure);
        let usable = |c: &ClassSettings| c.value.is_finite() && c.value >= 0.0 && c.aim > 0 && c.deadline > 0;
        if let Some(class) = self.classes.iter().position(|class| !usable(class)) {
            return Err(AdmissionError::InvalidClass(class));
        }
        let figures = [
            ("quota of a tenant", self.quotas.iter().all(|quota| quota.is_finite() && *quota >= 0.0)),
            ("over_share_worth", share(self.over_share_value)),
            ("retry_share", share(self.retry_share)),
            ("number of loops", self.loops > 0),
            ("tell", self.publish_interval >= 50_000),
            ("stands", self.load_ttl >= self.publish_interval * 4),
        ];
        match figures.iter().find(|(_, usable)| !usable) {
            Some((name, _)) => Err(AdmissionError::OutOfRange(name)),
            None => Ok(()),
        }
    }

    /// Tenants, one where none are configured.
    pub fn tenant_count(&self) -> usize {
        self.quotas.len().max(1)
    }

    /// Pairs of class and tenant.
    pub fn cell_count(&self) -> usize {
        self.classes.len() * self.tenant_count()
    }

    /// The pair of a class and a tenant; what is out of the list is taken for its last.
    pub fn cell(&self, class: usize, tenant: usize) -> usize {
        class.min(self.classes.len() - 1) * self.tenant_count() + tenant.min(self.tenant_count() - 1)
    }

    /// The wait at which calls are held: a fifth of the shortest aim, 5 ms to 250 ms.
    pub fn target_wait(&self) -> Micros {
        let least = self.classes.iter().map(|class| class.aim).min().unwrap_or_default();
        (least / 5).clamp(5_000, 250_000)
    }
}
