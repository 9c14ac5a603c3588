use {
    super::policy_form::FormParser,
    crate::{
        context::{ClassName, ServiceName},
        policy::RoutePolicy,
    },
};

/// Form row of a route, with the text that the operator entered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteRow {
    pub service: String,
    /// Matches any method if empty.
    pub method: String,
    pub path: String,
    pub class: String,
}

impl RouteRow {
    pub(super) fn from_policy(route: &RoutePolicy) -> Self {
        Self {
            service: route.service.to_string(),
            method: route.method.clone().unwrap_or_default(),
            path: route.path.clone(),
            class: route.class.to_string(),
        }
    }

    pub(super) fn set_field(&mut self, field: &str, value: String) {
        match field {
            "service" => self.service = value,
            "method" => self.method = value,
            "path" => self.path = value,
            "class" => self.class = value,
            _ => {}
        }
    }

    pub(super) fn to_policy(
        &self,
        position: usize,
        parser: &mut FormParser,
    ) -> Option<RoutePolicy> {
        let field_name = |field| format!("routes[{position}].{field}");
        let service = parser.check(field_name("service"), ServiceName::new(&self.service));
        let class = parser.check(field_name("class"), ClassName::new(&self.class));
        Some(RoutePolicy {
            service: service?,
            method: (!self.method.is_empty()).then(|| self.method.clone()),
            path: self.path.clone(),
            class: class?,
        })
    }
}
