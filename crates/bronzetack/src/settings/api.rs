//! API calls of operators about settings.

use actix::Context;
use actix::Handler;
use actix::ResponseFuture;
use conf::api::ChangeReply;
use conf::api::ExplainReply;
use conf::api::HistoryQuery;
use conf::api::HistoryReply;
use conf::api::OrgInfo;
use conf::api::OrgsReply;
use conf::api::Setting;
use conf::api::SettingsReply;
use conf::api::SettingsRequest;
use conf::api::ShapeInfo;
use conf::api::ShapesReply;
use conf::tree::Edit;
use conf::tree::Key;
use conf::tree::Place;
use conf::tree::Record;
use conf::tree::Tree;
use conf::tree::Value;
use entry::ops::ApiError;
use entry::ops::ApiResult;
use entry::ops::ChangeSettings;
use entry::ops::ExplainSetting;
use entry::ops::ReadHistory;
use entry::ops::ReadOrgs;
use entry::ops::ReadSettings;
use entry::ops::ReadShapes;
use entry::ops::SetDomain;
use futures_util::FutureExt;
use tokio::sync::oneshot;

use super::Settings;

/// Number of changes returned if the query sets no limit.
const DEFAULT_HISTORY: usize = 50;

impl Settings {
    fn tree(&self) -> ApiResult<&Tree> {
        let tree = self.replica.tree().map(|tree| tree.as_ref());
        tree.ok_or_else(|| ApiError::not_run(503, "no settings are known yet"))
    }

    fn change(
        &mut self,
        call: SettingsRequest,
        ctx: &mut Context<Settings>,
    ) -> ResponseFuture<ApiResult<ChangeReply>> {
        let reply: oneshot::Receiver<ApiResult<ChangeReply>> = self.begin_change(call, ctx);
        let stopping = |_| Err(ApiError::unknown("the daemon is stopping"));
        async move { reply.await.unwrap_or_else(stopping) }.boxed_local()
    }
}

impl Handler<ReadSettings> for Settings {
    type Result = ApiResult<SettingsReply>;

    fn handle(&mut self, msg: ReadSettings, _: &mut Context<Settings>) -> Self::Result {
        let tree = self.tree()?;
        let at = msg.0.at.unwrap_or_else(Place::site);
        let all = Key::ALL.iter().copied();
        let wanted = all.filter(|key| msg.0.key.is_none_or(|k| k == *key));
        let settings: Vec<Setting> = wanted.map(|key| tree.setting(key, &at)).collect();
        let age = self.replica.age(self.context.clock.now());
        Ok(SettingsReply {
            revision: tree.revision(),
            age: age.unwrap_or(base::Millis::MAX),
            settings,
        })
    }
}

impl Handler<ExplainSetting> for Settings {
    type Result = ApiResult<ExplainReply>;

    fn handle(&mut self, msg: ExplainSetting, _: &mut Context<Settings>) -> Self::Result {
        let tree = self.tree()?;
        let at = msg.0.at.unwrap_or_else(Place::site);
        match msg.0.key {
            Some(key) => Ok(tree.explain(key, &at)),
            None => Err(ApiError::not_run(400, "key is missing: name a setting")),
        }
    }
}

impl Handler<ReadHistory> for Settings {
    type Result = ApiResult<HistoryReply>;

    fn handle(&mut self, msg: ReadHistory, _: &mut Context<Settings>) -> Self::Result {
        let tree = self.tree()?;
        let query = msg.0;
        let records = tree.history().filter(|rec| matches_query(rec, &query));
        Ok(HistoryReply {
            revision: tree.revision(),
            records: records
                .take(query.limit.unwrap_or(DEFAULT_HISTORY))
                .cloned()
                .collect(),
        })
    }
}

fn matches_query(record: &Record, query: &HistoryQuery) -> bool {
    let at = |place: &Place| query.at.as_ref().is_none_or(|at| at == place);
    let key = |name: &str| query.key.is_none_or(|key| key.name() == name);
    let mut items = record.items.iter();
    items.any(|item| at(&item.at) && key(&item.key))
}

impl Handler<ChangeSettings> for Settings {
    type Result = ResponseFuture<ApiResult<ChangeReply>>;

    fn handle(&mut self, msg: ChangeSettings, ctx: &mut Context<Settings>) -> Self::Result {
        self.change(msg.0, ctx)
    }
}

impl Handler<SetDomain> for Settings {
    type Result = ResponseFuture<ApiResult<ChangeReply>>;

    fn handle(&mut self, msg: SetDomain, ctx: &mut Context<Settings>) -> Self::Result {
        let edit = Edit::Set {
            at: Place::domain(&msg.domain),
            key: Key::Out.to_string(),
            value: Value::Flag(msg.out),
        };
        let call = SettingsRequest {
            op: msg.call.op,
            who: msg.call.who,
            expect: None,
            edits: vec![edit],
        };
        self.change(call, ctx)
    }
}

impl Handler<ReadOrgs> for Settings {
    type Result = ApiResult<OrgsReply>;

    fn handle(&mut self, _: ReadOrgs, _: &mut Context<Settings>) -> Self::Result {
        let tree = self.tree()?;
        let all = tree.all_guarantees();
        let orgs = tree.orgs().map(|org| {
            let own = all.iter().filter(|(o, ..)| o == org);
            let accels = own.map(|(_, _, shape, count)| shape.tasks * shape.accels.0 * count);
            let weight = tree.resolve(Key::Weight, &Place::org(org));
            OrgInfo {
                org: org.clone(),
                weight: number_or_zero(weight),
                guaranteed: accels.map(u64::from).sum(),
            }
        });
        Ok(OrgsReply {
            revision: tree.revision(),
            orgs: orgs.collect(),
        })
    }
}

fn number_or_zero(value: Value) -> u64 {
    match value {
        Value::Number(num) => num,
        _ => 0,
    }
}

impl Handler<ReadShapes> for Settings {
    type Result = ApiResult<ShapesReply>;

    fn handle(&mut self, msg: ReadShapes, _: &mut Context<Settings>) -> Self::Result {
        let tree = self.tree()?;
        let all = tree.all_guarantees().into_iter();
        let infos = all.map(|(org, domain, shape, count)| ShapeInfo {
            org,
            domain,
            shape,
            count,
        });
        let of_org = infos.filter(|s| msg.0.org.as_ref().is_none_or(|o| *o == s.org));
        let selected = of_org.filter(|s| msg.0.domain.as_ref().is_none_or(|d| *d == s.domain));
        Ok(ShapesReply {
            revision: tree.revision(),
            shapes: selected.collect(),
        })
    }
}
