#include "standin/standin.hpp"
#include "standin/weights.hpp"

int main(int argc, char** argv)
{
    using namespace rml;
    std::int64_t concurrent_loads = 4;
    std::int64_t load = 500;
    std::int64_t retry_after = 250;
    command_line line("rml-standin-weights", standin::weights_server::fault_help());
    line.add("concurrent-loads", concurrent_loads,
             "Loads that may run at once; further ones are answered 429");
    line.add("load-ms", load, "Time of one load");
    line.add("retry-after-ms", retry_after, "Pause that the 429 answer asks for");
    boost::asio::io_context context(1);
    std::unique_ptr<standin::weights_server> server;
    return standin::run_program(context, line, argc, const_cast<const char**>(argv),
                                [&](const endpoint& listen) -> result<std::vector<endpoint>> {
                                    const standin::weights_options options{
                                        static_cast<std::uint32_t>(concurrent_loads), milliseconds(load),
                                        milliseconds(retry_after)};
                                    auto created = standin::weights_server::create(context, listen, options);
                                    if (failed(created)) {
                                        return error(created);
                                    }
                                    server = value(std::move(created));
                                    return std::vector<endpoint>{server->local()};
                                });
}
