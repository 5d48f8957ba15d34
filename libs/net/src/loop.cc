// Drives the timer service from a GLib source.
#include "net/loop.h"

#include <glib-unix.h>
#include <glib.h>

#include <algorithm>

namespace balsambay::net {
namespace {

struct timer_source {
  GSource base;
  timer_service* timers;
};

bool IsDue(const timer_source* source) { return NextDeadline(*source->timers) <= MonotonicNow(); }

gboolean Prepare(GSource* base, gint* timeout_ms) {
  const auto* source = reinterpret_cast<timer_source*>(base);
  const time_point deadline = NextDeadline(*source->timers);
  if (deadline == kNever) {
    *timeout_ms = -1;
    return FALSE;
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(deadline - MonotonicNow()).count();
  // Capped so that a far deadline cannot overflow gint.
  *timeout_ms = static_cast<gint>(std::clamp<int64_t>(wait, 0, 3'600'000));
  return wait <= 0;
}

gboolean Check(GSource* base) { return IsDue(reinterpret_cast<timer_source*>(base)); }

gboolean Dispatch(GSource* base, GSourceFunc, gpointer) {
  RunDue(*reinterpret_cast<timer_source*>(base)->timers, MonotonicNow());
  return G_SOURCE_CONTINUE;
}

GSourceFuncs timer_source_funcs = {Prepare, Check, Dispatch, nullptr, nullptr, nullptr};

gboolean RunSignalHandler(gpointer data) {
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

void DeleteHandler(gpointer data) { delete static_cast<std::function<void()>*>(data); }

}  // namespace

struct loop::impl {
  GMainLoop* main_loop = g_main_loop_new(nullptr, FALSE);
  GSource* source = nullptr;
};

loop::loop() : impl_(std::make_unique<impl>()) {
  impl_->source = g_source_new(&timer_source_funcs, sizeof(timer_source));
  reinterpret_cast<timer_source*>(impl_->source)->timers = &timers_;
  g_source_attach(impl_->source, nullptr);
}

loop::~loop() {
  g_source_destroy(impl_->source);
  g_source_unref(impl_->source);
  g_main_loop_unref(impl_->main_loop);
}

void loop::Run() { g_main_loop_run(impl_->main_loop); }

void loop::Quit() { g_main_loop_quit(impl_->main_loop); }

void loop::OnSignal(int signal_number, std::function<void()> fn) {
  g_unix_signal_add_full(G_PRIORITY_HIGH, signal_number, RunSignalHandler,
                         new std::function<void()>(std::move(fn)), DeleteHandler);
}

}  // namespace balsambay::net
