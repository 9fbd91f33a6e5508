#include "model/engine_status.hpp"

#include <nlohmann/json.hpp>

namespace rml {

std::string encode_engine_status(const engine_status& report)
{
    const nlohmann::json document{{"instance", report.instance.str()},
                                  {"incarnation", report.incarnation},
                                  {"group", report.group.str()},
                                  {"group_epoch", report.group_epoch},
                                  {"rank", report.rank},
                                  {"model", report.model.str()},
                                  {"version", report.version},
                                  {"loaded", report.loaded},
                                  {"leaving", report.leaving},
                                  {"running", report.running},
                                  {"queued", report.queued},
                                  {"warm_slots", report.warm_slots},
                                  {"fencing", report.fencing}};
    return document.dump();
}

result<engine_status> decode_engine_status(const std::string& json)
{
    try {
        const auto document = nlohmann::json::parse(json);
        engine_status report;
        report.instance = instance_id(document.at("instance").get<std::string>());
        report.incarnation = document.at("incarnation").get<std::uint64_t>();
        report.group = group_id(document.at("group").get<std::string>());
        report.group_epoch = document.at("group_epoch").get<std::uint64_t>();
        report.rank = document.at("rank").get<std::uint32_t>();
        report.model = model_id(document.at("model").get<std::string>());
        report.version = document.at("version").get<std::string>();
        report.loaded = document.at("loaded").get<bool>();
        report.leaving = document.at("leaving").get<bool>();
        report.running = document.at("running").get<std::uint32_t>();
        report.queued = document.at("queued").get<std::uint32_t>();
        report.warm_slots = document.at("warm_slots").get<std::uint32_t>();
        report.fencing = document.at("fencing").get<std::uint64_t>();
        return report;
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, std::string("engine status: ") + e.what()};
    }
}

} // namespace rml
