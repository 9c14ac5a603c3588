use {
    super::policy_form::FormParser,
    crate::{context::ClassName, policy::ClassPolicy},
};

/// Form row of a class, with the text that the operator entered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassRow {
    pub name: String,
    pub weight: String,
    pub deadline_ms: String,
    pub non_idempotent: bool,
    pub key_window_s: String,
}

impl ClassRow {
    pub(super) fn from_policy(class: &ClassPolicy) -> Self {
        Self {
            name: class.name.to_string(),
            weight: class.weight.to_string(),
            deadline_ms: class.deadline_ms.to_string(),
            non_idempotent: class.non_idempotent,
            key_window_s: class.key_window_s.to_string(),
        }
    }

    pub(super) fn set_field(&mut self, field: &str, value: String) {
        match field {
            "name" => self.name = value,
            "weight" => self.weight = value,
            "deadline_ms" => self.deadline_ms = value,
            "non_idempotent" => self.non_idempotent = true,
            "key_window_s" => self.key_window_s = value,
            _ => {}
        }
    }

    pub(super) fn to_policy(
        &self,
        position: usize,
        parser: &mut FormParser,
    ) -> Option<ClassPolicy> {
        let field_name = |field| format!("classes[{position}].{field}");
        let name = parser.check(field_name("name"), ClassName::new(&self.name));
        let weight = parser.parse_number(field_name("weight"), &self.weight);
        let deadline = parser.parse_number(field_name("deadline_ms"), &self.deadline_ms);
        let key_window = parser.parse_number(field_name("key_window_s"), &self.key_window_s);
        Some(ClassPolicy {
            name: name?,
            weight: weight?,
            deadline_ms: deadline?,
            non_idempotent: self.non_idempotent,
            key_window_s: key_window?,
        })
    }
}
