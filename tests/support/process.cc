// Starts programs with posix_spawn and waits for them.
#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace balsambay::system_test {
namespace {

// Takes a port on all addresses of the machine, if nobody else has it on any of them. Those who
// listen with SO_REUSEADDR, as all programs here do, can still use it.
bool Reserve(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return false;
  }
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  // Open until the process ends, so that other test programs get other ports.
  return true;
}

}  // namespace

std::string ProgramPath(const std::string& target, build source) {
  const char* build_dir = std::getenv("BALSAMBAY_BUILD_DIR");
  const char* second_dir = std::getenv("BALSAMBAY_OTHER_BUILD_DIR");
  if (source == build::kSecond && second_dir != nullptr) build_dir = second_dir;
  const std::string root = build_dir != nullptr ? build_dir : "build";
  if (target.starts_with("balsambay-mock-")) {
    std::string directory = target.substr(std::string("balsambay-").size());
    std::ranges::replace(directory, '-', '_');
    return root + "/tools/" + directory + "/" + target;
  }
  return root + "/apps/" + target + "/" + target;
}

int FreePort() {
  // Ports of concurrent test programs start at different places of 20000 to 32000.
  static int next = 20000 + static_cast<int>(getpid() * 61 % 11000);
  for (int tries = 0; tries < 5000; ++tries) {
    next = next >= 32000 ? 20000 : next + 1;
    if (Reserve(next)) return next;
  }
  throw std::runtime_error("no free port");
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& output_file) {
  std::vector<std::string> words = {program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  std::ranges::transform(words, std::back_inserter(argv),
                         [](std::string& word) { return word.data(); });
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int failed = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error("cannot start " + program);
}

child_process::~child_process() {
  if (!ended_) Kill();
}

void child_process::Signal(int number) const {
  if (!ended_) kill(pid_, number);
}

int child_process::Wait(int timeout_ms) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  while (!ended_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      ended_ = true;
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() > limit) return -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return exit_code_;
}

void child_process::Kill() {
  Signal(SIGKILL);
  Wait(5000);
}

bool child_process::Running() { return Wait(0) == -1; }

}  // namespace balsambay::system_test
