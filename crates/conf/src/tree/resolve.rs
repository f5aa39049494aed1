//! Lookup of effective values, and of the places that they are inherited from.

use crate::api::ChainLink;
use crate::api::ExplainReply;
use crate::api::Setting;
use crate::tree::key::Key;
use crate::tree::place::Place;
use crate::tree::value::Value;
use crate::tree::Tree;

impl Tree {
    /// Effective value of a setting at a place.
    pub fn resolve(&self, key: Key, at: &Place) -> Value {
        match self.find(key, at) {
            Some((_, value)) => value.clone(),
            None => key.default_value(),
        }
    }

    /// Effective value of a setting at a place, with the place that it is inherited from.
    pub fn setting(&self, key: Key, at: &Place) -> Setting {
        let found = self.find(key, at);
        let (from, value) = match found {
            Some((place, value)) => (Some(place), value.clone()),
            None => (None, key.default_value()),
        };
        Setting { key, value, from }
    }

    /// Lookup chain of a setting at a place, with the value set at each.
    pub fn explain(&self, key: Key, at: &Place) -> ExplainReply {
        let setting = self.setting(key, at);
        let mut chain: Vec<ChainLink> = Vec::new();
        for place in at.chain() {
            chain.push(ChainLink {
                allowed: is_allowed(key, &place),
                value: self.own_value(key, &place).cloned(),
                used: setting.from.as_ref() == Some(&place),
                at: Some(place),
            });
        }
        chain.push(ChainLink {
            at: None,
            allowed: true,
            value: Some(key.default_value()),
            used: setting.from.is_none(),
        });
        ExplainReply {
            revision: self.revision(),
            key,
            value: setting.value,
            chain,
        }
    }

    fn find(&self, key: Key, at: &Place) -> Option<(Place, &Value)> {
        let mut chain = at.chain().into_iter();
        chain.find_map(|p| self.own_value(key, &p).map(|v| (p, v)))
    }

    /// Value set at a place itself, not inherited.
    pub fn own_value(&self, key: Key, at: &Place) -> Option<&Value> {
        let value = self.values.get(at)?.get(&key);
        value.filter(|_| is_allowed(key, at))
    }
}

fn is_allowed(key: Key, at: &Place) -> bool {
    at.level().is_some_and(|l| key.levels().contains(&l))
}
