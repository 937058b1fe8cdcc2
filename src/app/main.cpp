#include <csignal>
#include <cstdio>
#include <dlfcn.h>

// Blocks the signals that processes handle and only then loads the program with its libraries. Loading takes most of a
// process's start, and until then an early request to reload the settings would end the process. Uses the C library
// alone, so that nothing else is loaded before.
int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    void* const library = dlopen("liblagoonrouter.so", RTLD_NOW | RTLD_LOCAL);
    using Main = int (*)(int, char**);
    const Main programMain = library ? reinterpret_cast<Main>(dlsym(library, "lagoonrouterMain")) : nullptr;
    if (programMain)
        return programMain(argc, argv);
    const char* const error = dlerror();
    std::fprintf(stderr, "lagoonrouter: %s\n", error ? error : "liblagoonrouter.so has no main function");
    return 1;
}
