#include "standin/kv.hpp"
#include "standin/standin.hpp"

int main(int argc, char** argv)
{
    using namespace rml;
    command_line line("rml-standin-kv", standin::kv_server::fault_help());
    boost::asio::io_context context(1);
    std::unique_ptr<standin::kv_server> server;
    return standin::run_program(context, line, argc, const_cast<const char**>(argv),
                                [&](const endpoint& listen) -> result<std::vector<endpoint>> {
                                    auto created = standin::kv_server::create(context, listen);
                                    if (failed(created)) {
                                        return error(created);
                                    }
                                    server = value(std::move(created));
                                    return std::vector<endpoint>{server->local()};
                                });
}
