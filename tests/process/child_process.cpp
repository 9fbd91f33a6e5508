#include "process/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace rml::test {

namespace {

constexpr milliseconds start_limit{20000};
constexpr milliseconds poll_interval{10};

endpoint parse_or_throw(const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    if (failed(parsed)) {
        throw std::runtime_error("no address in '" + text + "'");
    }
    return value(parsed);
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_file, std::size_t lines)
{
    int ends[2] = {-1, -1};
    if (::pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    const auto path = std::string(RML_PROGRAM_DIR) + "/" + program;
    std::vector<std::string> words{path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    for (auto& word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    const int code = ::posix_spawn(&this->pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    if (code != 0) {
        ::close(ends[0]);
        throw std::runtime_error("cannot start " + path);
    }
    this->read_lines(ends[0], lines);
    ::close(ends[0]);
}

void child_process::read_lines(int pipe, std::size_t lines)
{
    const auto deadline = steady_clock::now() + start_limit;
    std::string line;
    while (this->output.size() < lines) {
        pollfd watched{pipe, POLLIN, 0};
        char byte = 0;
        const bool late = steady_clock::now() > deadline;
        if (late || ::poll(&watched, 1, 1000) < 0 || (watched.revents != 0 && ::read(pipe, &byte, 1) != 1)) {
            this->kill_now();
            throw std::runtime_error("program does not listen");
        }
        if (watched.revents == 0) {
            continue;
        }
        if (byte != '\n') {
            line += byte;
            continue;
        }
        if (line.compare(0, 10, "listening ") == 0) {
            this->output.push_back(line.substr(10));
        }
        line.clear();
    }
}

child_process::~child_process()
{
    this->kill_now();
}

endpoint child_process::address(std::size_t line) const
{
    const auto& text = this->output.at(line);
    return parse_or_throw(text.substr(0, text.find(' ')));
}

endpoint child_process::named_address(const std::string& name) const
{
    const auto& text = this->output.at(0);
    const auto start = text.find(name + "=");
    if (start == std::string::npos) {
        throw std::runtime_error("no address " + name);
    }
    const auto from = start + name.size() + 1;
    return parse_or_throw(text.substr(from, text.find(' ', from) - from));
}

void child_process::terminate() const
{
    ::kill(this->pid, SIGTERM);
}

void child_process::kill_now()
{
    if (this->running()) {
        ::kill(this->pid, SIGKILL);
        int state = 0;
        ::waitpid(this->pid, &state, 0);
        this->pid = -1;
    }
}

void child_process::freeze() const
{
    ::kill(this->pid, SIGSTOP);
}

void child_process::resume() const
{
    ::kill(this->pid, SIGCONT);
}

bool child_process::running()
{
    if (this->pid <= 0) {
        return false;
    }
    int state = 0;
    if (::waitpid(this->pid, &state, WNOHANG) != this->pid) {
        return true;
    }
    this->exit_code = WIFEXITED(state) ? WEXITSTATUS(state) : 128 + WTERMSIG(state);
    this->pid = -1;
    return false;
}

int child_process::wait_exit(milliseconds limit)
{
    const auto deadline = steady_clock::now() + limit;
    while (this->running() && steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    return this->running() ? -1 : this->exit_code;
}

} // namespace rml::test
