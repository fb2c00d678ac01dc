//! Checks models that are split by layers.

use super::limits::{check_not_negative, check_positive};
use super::setting::Setting;
use super::{ConfigFault, ConfigFinding, ConfigParts, ConfigPlace};
use crate::pipeline::PipelineSpec;

/// Checks the pipelines of all services.
pub(super) fn check(parts: &ConfigParts, findings: &mut Vec<ConfigFinding>) {
    for service in &parts.services {
        let Some(spec) = &service.pipeline else {
            continue;
        };
        let place = ConfigPlace::Service(service.name.clone());
        check_figures(&place, spec, findings);
        for (name, card) in &spec.cards {
            let place = ConfigPlace::Card(service.name.clone(), name.clone());
            for (setting, value, unit) in [
                (Setting::Memory, card.memory_mb, "MB"),
                (Setting::StepFactor, card.step_factor, ""),
                (Setting::PrefillFactor, card.prefill_factor, ""),
            ] {
                check_positive(&place, setting, value, unit, findings);
            }
        }
        let largest_mb = spec.cards.values().map(|card| card.memory_mb);
        let largest_mb = largest_mb.fold(0.0, f64::max);
        let fault = match spec.cards.is_empty() {
            true => Some(ConfigFault::NoCards),
            false => (spec.layer_mb > largest_mb).then_some(ConfigFault::LayerTooLarge {
                layer_mb: spec.layer_mb,
                largest_mb,
            }),
        };
        findings.extend(fault.map(|fault| ConfigFinding { place, fault }));
    }
}

fn check_figures(place: &ConfigPlace, spec: &PipelineSpec, findings: &mut Vec<ConfigFinding>) {
    for (setting, value, unit) in [
        (Setting::Layers, f64::from(spec.layers), ""),
        (Setting::LayerSize, spec.layer_mb, "MB"),
        (Setting::Slots, f64::from(spec.slots), ""),
        (Setting::LoadsAtOnce, f64::from(spec.loads_at_once), ""),
        (
            Setting::PrefillRate,
            spec.prefill_tokens_per_ms,
            "tokens/ms",
        ),
    ] {
        check_positive(place, setting, value, unit, findings);
    }
    for (setting, value, unit) in [
        (Setting::KvTokenBytes, spec.kv_token_bytes, "bytes"),
        (Setting::StepTime, spec.step_ms, "ms"),
        (Setting::StepTimeOfRequest, spec.step_per_request_ms, "ms"),
        (
            Setting::StepTimeOfContext,
            spec.step_per_1k_context_ms,
            "ms",
        ),
        (Setting::LoadTime, spec.load_ms, "ms"),
        (Setting::PromptTokens, spec.mean_prompt_tokens, "tokens"),
        (Setting::AnswerTokens, spec.mean_answer_tokens, "tokens"),
        (Setting::ActivationBytes, spec.activation_bytes, "bytes"),
        (Setting::ReportLag, spec.report_lag_ms, "ms"),
    ] {
        check_not_negative(place, setting, value, unit, findings);
    }
}
