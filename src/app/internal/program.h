#pragma once

/// The program itself. Expects SIGHUP to be blocked; see main.cpp.
extern "C" int lagoonrouterMain(int argc, char** argv);
